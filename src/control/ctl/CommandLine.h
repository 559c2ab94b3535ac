// The whole of coriandergatectl but its main().
//
//   auto main(int argc, char** argv) -> int { return coriandergate::control::ctl::runCommandLine(argc, argv); }
#pragma once

namespace coriandergate::control::ctl {

// ExitCode is what coriandergatectl ends with; scripts may rely on the numbers.
enum ExitCode {
    Done = 0,
    Failed = 1, // the daemon could not be reached, or answered what was not expected
    BadUsage = 2, // command line or environment
    Invalid = 3, // the declaration has faults, or the change can't be planned
    Conflicting = 4, // another change came first; nothing was changed
    NotAccepted = 5, // the store is away; nothing was changed
    Unknown = 6, // the store's answer was lost; confirm again to learn the outcome
    Differs = 7, // diff found a difference
    NotEverywhere = 8, // status found daemons behind or unreachable
};

// runCommandLine() carries out one command and returns its exit code. From the main thread.
[[nodiscard]] auto runCommandLine(int argumentCount, char** arguments) -> int;

} // namespace coriandergate::control::ctl
