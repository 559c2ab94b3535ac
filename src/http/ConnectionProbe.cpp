#include "http/ConnectionProbe.h"

#include <QHostAddress>
#include <QTcpSocket>
#include <QTimer>
#include <memory>

namespace coriandergate::http {

auto probeConnection(
    const std::string& peer, std::chrono::milliseconds timeout, std::function<void(bool isRefused)> done) -> void
{
    auto* socket = new QTcpSocket;
    auto finish = [socket, called = std::make_shared<bool>(false), done = std::move(done)](bool isRefused) -> void {
        if (std::exchange(*called, true))
            return;
        socket->deleteLater();
        done(isRefused);
    };
    QObject::connect(socket, &QTcpSocket::connected, socket, [finish] { finish(false); });
    QObject::connect(socket, &QTcpSocket::errorOccurred, socket,
        [finish](QAbstractSocket::SocketError error) { finish(error == QAbstractSocket::ConnectionRefusedError); });
    QTimer::singleShot(timeout, socket, [finish] { finish(false); });
    const auto colon = peer.rfind(':');
    socket->connectToHost(QHostAddress(QString::fromStdString(peer.substr(0, colon))),
        QString::fromStdString(peer.substr(colon + 1)).toUShort());
}

} // namespace coriandergate::http
