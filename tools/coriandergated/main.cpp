#include "daemon/RunDaemon.h"

auto main(int argc, char** argv) -> int { return coriandergate::daemon::runDaemon(argc, argv); }
