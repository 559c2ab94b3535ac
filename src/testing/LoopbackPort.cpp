#include "testing/LoopbackPort.h"

#include <QHostAddress>
#include <QTcpServer>
#include <atomic>
#include <unistd.h>

namespace coriandergate::testing {

namespace {

    constexpr std::uint32_t firstPort = 10000;
    constexpr std::uint32_t portCount = 22000;
    constexpr std::uint32_t portsPerProcess = 40;

} // namespace

auto freeLoopbackPort() -> std::uint16_t
{
    static std::atomic<std::uint32_t> s_next = static_cast<std::uint32_t>(::getpid()) * portsPerProcess;
    for (std::uint32_t tries = 0; tries < portCount; ++tries) {
        const auto port = static_cast<std::uint16_t>(firstPort + s_next++ % portCount);
        QTcpServer probe;
        if (probe.listen(QHostAddress::LocalHost, port))
            return port;
    }
    return 0;
}

} // namespace coriandergate::testing
