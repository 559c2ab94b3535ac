// The one QCoreApplication of a test program, for Qt classes that need one.
//
//   ensureApplication();
//   QTcpServer server;
#pragma once

namespace coriandergate::testing {

// ensureApplication() makes a QCoreApplication unless there is one. To be called from the main thread.
auto ensureApplication() -> void;

} // namespace coriandergate::testing
