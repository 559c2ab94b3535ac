// The whole of the daemon program but its main().
//
//   auto main(int argc, char** argv) -> int { return coriandergate::daemon::runDaemon(argc, argv); }
#pragma once

namespace coriandergate::daemon {

// runDaemon() reads the settings, starts every plug-in, serves until SIGTERM or SIGINT and drains. The result is the
// exit status: 0 after a planned stop, 1 when the start failed, 2 for bad settings.
[[nodiscard]] auto runDaemon(int argc, char** argv) -> int;

} // namespace coriandergate::daemon
