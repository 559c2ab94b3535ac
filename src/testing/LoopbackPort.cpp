#include "testing/LoopbackPort.h"

#include <QHostAddress>
#include <QTcpServer>

namespace coriandergate::testing {

auto freeLoopbackPort() -> std::uint16_t
{
    QTcpServer probe;
    if (!probe.listen(QHostAddress::LocalHost, 0))
        return 0;
    return probe.serverPort();
}

} // namespace coriandergate::testing
