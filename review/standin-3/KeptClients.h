// Ordinary clients that keep their connections to one daemon: each books once and gets its answer, then books again on
// the same connection.
#pragma once

#include "Deployment.h"

#include <memory>
#include <string>
#include <vector>

namespace standin {

class KeptClients {
public:
    // The clients connect to `outbound` and book once.
    KeptClients(const std::string& outbound, std::size_t count, Record& record);

    // areServed() returns whether all were answered with 200 so far.
    bool areServed() const { return m_served == m_clients.size(); }

    // bookAgain() sends the second booking of each and returns how many have no complete answer although an instance
    // of `deployment` ran them.
    std::size_t bookAgain(Deployment& deployment);

private:
    struct Client {
        std::unique_ptr<Wire> wire;
        std::string id; // of the last booking
        bool isAnswered = false;
    };
    void send(Client& client);

    Record& m_record;
    std::vector<Client> m_clients;
    std::size_t m_served = 0;
};

} // namespace standin
