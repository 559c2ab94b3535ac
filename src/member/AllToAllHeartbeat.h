// The naive way to know each other, kept as the baseline for measurements: every daemon sends a heartbeat to every
// other one, with its whole profile, and whoever is silent for a time is dead.
//
//   AllToAllHeartbeat node("10.0.0.7:7101", { .interval = 1s });
//   for (const auto& peer : node.tick(now))
//       send(peer, node.self());
#pragma once

#include "base/Clock.h"
#include "member/MemberUpdate.h"

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace coriandergate::member {

// AllToAllHeartbeat is not thread-safe.
class AllToAllHeartbeat {
public:
    struct Options {
        std::chrono::milliseconds interval { 1000 };
        std::chrono::milliseconds timeout { 5500 };
    };

    AllToAllHeartbeat(MemberUpdate self, std::vector<std::string> peers, const Options& options)
        : m_self(std::move(self))
        , m_peers(std::move(peers))
        , m_options(options)
    {
    }

    // tick() is the peers to send self() to now; empty until the interval has passed.
    [[nodiscard]] auto tick(MonotonicTime now) -> std::vector<std::string>
    {
        if (now < m_nextBeat)
            return {};
        m_nextBeat = now + m_options.interval;
        return m_peers;
    }

    // receive() notes a heartbeat.
    auto receive(const MemberUpdate& sender, MonotonicTime now) -> void { m_heardAt[sender.address] = now; }

    // isAlive() says that `address` was heard within the timeout.
    [[nodiscard]] auto isAlive(const std::string& address, MonotonicTime now) const -> bool
    {
        const auto heard = m_heardAt.find(address);
        return heard != m_heardAt.end() && now < heard->second + m_options.timeout;
    }

    [[nodiscard]] auto self() const -> const MemberUpdate& { return m_self; }

private:
    const MemberUpdate m_self;
    const std::vector<std::string> m_peers;
    const Options m_options;
    MonotonicTime m_nextBeat;
    std::map<std::string, MonotonicTime> m_heardAt;
};

} // namespace coriandergate::member
