// A stand-in of one application instance: it registers with the daemon of its host, serves one request at a time on
// each connection, and records what it begins to run.
#pragma once

#include "Http.h"
#include "Record.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <string>

namespace review {

class Instance {
public:
    struct Options {
        std::string id;
        std::string service;
        std::string address;
        std::string controlAddress;
        int slots = 5;
        int workMs = 400;
    };

    // Fate is how the instance treats a request that it could run.
    enum class Fate {
        Run,
        Shed, // rejects it, with the mark that it has not run
        ShedTwice, // the same, and sends the rejection once more where the next response is expected
        Crash, // begins to run it and ends
    };
    using ChooseFate = std::function<Fate(const Message& request)>;
    using Started = std::function<void(const Message& request, const std::string& instance)>;

    Instance(Options options, Record& record, ChooseFate chooseFate, Started started);

    // start() begins a new incarnation; false if its address isn't free.
    [[nodiscard]] auto start() -> bool;
    // leave() deregisters the instance without reporting that it drains; it goes on serving and sends no more pings.
    // Its last ping is held up on the way. Returns the status of the answer, 0 for none.
    [[nodiscard]] auto leave() -> int;
    // deliverHeldPing() lets the ping arrive that was sent before leave().
    [[nodiscard]] auto deliverHeldPing() -> int;
    // end() ends the instance for good, with what it is at work on.
    auto end() -> void;
    [[nodiscard]] auto id() const -> std::string;
    [[nodiscard]] auto answers() const -> long { return m_answers; }
    [[nodiscard]] auto extraAnswers() const -> long { return m_extraAnswers; }

private:
    auto serve(const std::shared_ptr<Socket>& socket) -> void;
    auto crash() -> void;
    auto sendHeartbeats(long incarnation) -> void;
    [[nodiscard]] auto makePing(long sequence) const -> std::string;
    [[nodiscard]] auto call(const std::string& name, const std::string& body) const -> int;

    Options m_options;
    Record& m_record;
    ChooseFate m_chooseFate;
    Started m_started;
    Listener m_listener;
    std::atomic<long> m_incarnation = 0;
    std::atomic<bool> m_isUp = false;
    std::atomic<int> m_running = 0;
    std::atomic<long> m_answers = 0;
    std::atomic<long> m_extraAnswers = 0;
    std::atomic<long> m_sequence = 0;
    std::atomic<bool> m_hasLeft = false;
    std::string m_heldPing;
    long m_born = 0;
};

} // namespace review
