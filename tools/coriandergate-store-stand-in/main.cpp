// The platform's stores for tests and first tries; see src/testing/StandInStore.h.
#include "base/Error.h"
#include "http/WorkerPool.h"
#include "testing/StandInStore.h"

#include <docopt.h>

#include <QCoreApplication>

#include <iostream>

namespace {

constexpr auto usage = R"(A stand-in of the platform's table service and object store on loopback. It keeps nothing.

Usage:
  coriandergate-store-stand-in [options]
  coriandergate-store-stand-in --help

Options:
  --listen=PORT  Port of 127.0.0.1 to listen on, 0 for any free one [default: 0].
)";

}

auto main(int argumentCount, char** arguments) -> int
{
    QCoreApplication application(argumentCount, arguments);
    auto parsed = docopt::docopt(usage, { arguments + 1, arguments + argumentCount }, true, "");
    coriandergate::http::WorkerPool workers({ .threads = 1 });
    coriandergate::testing::StandInStore store(workers, static_cast<std::uint16_t>(parsed["--listen"].asLong()));
    coriandergate::Error reason;
    if (!store.listen(reason)) {
        std::cerr << reason.toText() << std::endl;
        return 1;
    }
    std::cout << "listening on 127.0.0.1:" << store.port() << std::endl;
    return QCoreApplication::exec();
}
