// Callers of a fleet: most keep their connection, send one request after the other, and tell the checker; some use
// their connection in the other ways that the protocol allows.
//
//   Callers callers(checker, addresses, { .perHost = 4 });
//   callers.start();
//   ...
//   callers.stop();
#pragma once

#include "soak/Checker.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace coriandergate::soak {

// Callers work on a thread of their own.
class Callers {
public:
    struct Options {
        std::size_t perHost = 4;
        std::size_t socketsPerHost = 2; // further callers (SocketCaller.h)
        std::chrono::milliseconds pause { 40 }; // between a caller's requests, on average
        std::chrono::milliseconds deadline { 2500 };
        std::uint64_t seed = 1;
    };

    Callers(Checker& checker, std::vector<std::string> addresses, const Options& options);
    ~Callers();
    Callers(const Callers&) = delete;
    auto operator=(const Callers&) -> Callers& = delete;

    auto start() -> void;

    // stop() sends nothing more, waits for what is under way, and ends the thread.
    auto stop() -> void;

    // setGeneration() says which configuration is the newest, whose own route is called now and then; setWithdrawable()
    // which key may be withdrawn and is used until then and after.
    auto setGeneration(std::uint64_t generation) -> void { m_generation = generation; }
    auto setWithdrawable(std::uint64_t number) -> void { m_withdrawable = number; }

private:
    struct State;

    std::unique_ptr<State> m_state;
    std::atomic<std::uint64_t> m_generation { 1 };
    std::atomic<std::uint64_t> m_withdrawable { 1 };
};

} // namespace coriandergate::soak
