// The operators' command line; docs/API.md describes the API beneath it.
#include "control/ctl/CommandLine.h"

auto main(int argumentCount, char** arguments) -> int
{
    return coriandergate::control::ctl::runCommandLine(argumentCount, arguments);
}
