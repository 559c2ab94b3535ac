#include "KeptClients.h"

#include <algorithm>
#include <stdexcept>

namespace standin {

KeptClients::KeptClients(const std::string& outbound, std::size_t count, Record& record)
    : m_record(record)
{
    for (std::size_t i = 0; i < count; ++i) {
        Client client;
        client.wire = connectTo(outbound, 1000);
        if (!client.wire)
            throw std::runtime_error("an ordinary client can't connect");
        m_clients.push_back(std::move(client));
    }
    for (auto& client : m_clients)
        send(client);
    for (auto& client : m_clients) {
        const auto answer = client.wire->read(5000, true);
        m_served += answer && answer->status() == 200 ? 1 : 0;
    }
}

void KeptClients::send(Client& client)
{
    client.id = newId();
    const std::string body = "a dispatch";
    client.wire->write("POST /book/1 HTTP/1.1\r\nHost: shop.example\r\nApi-Key: key-of-the-sangh\r\n"
                       "X-Deadline-Milliseconds: 10000\r\nX-Request-Id: "
        + client.id + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    m_record.line("ordinary client: books with request " + client.id + " on its kept connection");
}

std::size_t KeptClients::bookAgain(Deployment& deployment)
{
    for (auto& client : m_clients)
        send(client);
    for (auto& client : m_clients) {
        const auto answer = client.wire->read(6000, true);
        client.isAnswered = answer.has_value();
        m_record.line("ordinary client: request " + client.id
            + (answer ? " gets " + std::to_string(answer->status())
                      : std::string(client.wire->wasReset() ? " has no answer, its connection was reset"
                                                            : " has no answer, its connection ended")));
    }
    std::size_t lost = 0;
    for (const auto& client : m_clients) {
        for (const auto& host : deployment.hosts) {
            const auto runs = host.instance->runs();
            const bool hasRun = std::any_of(
                runs.begin(), runs.end(), [&](const Instance::Run& run) { return run.request == client.id; });
            lost += hasRun && !client.isAnswered ? 1 : 0;
        }
    }
    return lost;
}

} // namespace standin
