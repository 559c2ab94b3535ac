#include "Instance.h"

#include <chrono>
#include <thread>
#include <utility>

namespace review {

using std::chrono::milliseconds;

namespace {

    constexpr int heartbeatMs = 1500;
    constexpr int crashedMs = 2500; // an instance that a request crashed is back after some seconds

    auto unixMilliseconds() -> long
    {
        return static_cast<long>(
            std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
    }

} // namespace

Instance::Instance(Options options, Record& record, ChooseFate chooseFate, Started started)
    : m_options(std::move(options))
    , m_record(record)
    , m_chooseFate(std::move(chooseFate))
    , m_started(std::move(started))
    , m_listener(m_options.address, [this](const std::shared_ptr<Socket>& socket) { serve(socket); })
{
}

auto Instance::id() const -> std::string { return m_options.id + "-" + std::to_string(m_incarnation.load()); }

auto Instance::start() -> bool
{
    ++m_incarnation;
    m_born = unixMilliseconds();
    m_running = 0;
    if (!m_listener.open())
        return false;
    m_isUp = true;
    std::thread([this, incarnation = m_incarnation.load()] { sendHeartbeats(incarnation); }).detach();
    return true;
}

auto Instance::makePing(long sequence) const -> std::string
{
    return R"({"service":")" + m_options.service + R"(","address":")" + m_options.address
        + R"(","zone":"zone-a","version":"v1","slots":)" + std::to_string(m_options.slots)
        + R"(,"state":"ready","cold_remaining":"0ms","sequence":)" + std::to_string(sequence) + R"(,"born":)"
        + std::to_string(m_born) + "}";
}

auto Instance::call(const std::string& name, const std::string& body) const -> int
{
    const auto socket = connectTo(m_options.controlAddress, 1000);
    const auto request = makeRequest("POST", "/coriandergate/rpc?call=instances." + name + "&of=" + id(),
        { { "Host", m_options.controlAddress }, { "Content-Type", "application/json" } }, body);
    const auto response = socket && socket->write(request) ? socket->readMessage(1000) : std::nullopt;
    return response ? response->status() : 0;
}

auto Instance::sendHeartbeats(long incarnation) -> void
{
    m_sequence = 0;
    while (m_isUp && !m_hasLeft && incarnation == m_incarnation) {
        const bool isAcknowledged = call("heartbeat", makePing(++m_sequence)) == 200;
        std::this_thread::sleep_for(milliseconds(isAcknowledged ? heartbeatMs : heartbeatMs / 3));
    }
}

auto Instance::leave() -> int
{
    m_hasLeft = true;
    m_heldPing = makePing(++m_sequence);
    m_record.line("instance " + id() + " sends a ping that is held up on the way, then deregisters");
    return call("deregister", R"({"born":)" + std::to_string(m_born) + "}");
}

auto Instance::end() -> void
{
    m_isUp = false;
    m_listener.crash();
    m_record.line("instance " + id() + " has ended");
}

auto Instance::deliverHeldPing() -> int { return call("heartbeat", m_heldPing); }

auto Instance::crash() -> void
{
    if (!m_isUp.exchange(false))
        return;
    m_record.line("instance " + id() + " crashes");
    m_listener.crash();
    std::thread([this] {
        std::this_thread::sleep_for(milliseconds(crashedMs));
        while (!start())
            std::this_thread::sleep_for(milliseconds(50));
        m_record.line("instance " + id() + " is up again");
    }).detach();
}

auto Instance::serve(const std::shared_ptr<Socket>& socket) -> void
{
    constexpr int idleMs = 10000;
    std::string extra; // response that is sent once more before the next one
    while (const auto request = socket->readMessage(idleMs)) {
        const auto requestId = request->header("X-Request-Id").value_or("");
        const auto expected = request->header("X-Expected-Instance");
        if (const auto late = std::exchange(extra, {}); !late.empty()) {
            m_record.line(
                "instance " + id() + " gets " + requestId + " and first sends its former rejection once more");
            if (!socket->write(late))
                return;
        }
        ++m_answers;
        if (expected && *expected != id()) {
            if (!socket->write(makeResponse(421, { { "X-Request-Id", requestId }, { "X-Instance-Id", id() } }, "")))
                return;
            continue;
        }
        auto fate = m_chooseFate(*request);
        if (fate == Fate::Run && m_running >= m_options.slots)
            fate = Fate::Shed;
        const auto load = std::to_string(m_running.load()) + ",0," + std::to_string(m_options.slots);
        if (fate == Fate::Shed || fate == Fate::ShedTwice) {
            m_record.line("instance " + id() + " sheds " + requestId);
            const auto response = makeResponse(
                503, { { "X-Request-Id", requestId }, { "X-Not-Executed", "1" }, { "X-Instance-Load", load } }, "");
            if (!socket->write(response))
                return;
            if (fate == Fate::ShedTwice) {
                extra = response;
                ++m_extraAnswers;
            }
            continue;
        }
        m_started(*request, id());
        if (fate == Fate::Crash) {
            crash();
            return;
        }
        ++m_running;
        const auto end = std::chrono::steady_clock::now() + milliseconds(m_options.workMs);
        bool isDropped = false;
        while (!isDropped && std::chrono::steady_clock::now() < end) {
            std::this_thread::sleep_for(milliseconds(5));
            isDropped = socket->isPeerGone();
        }
        --m_running;
        if (isDropped)
            return;
        const auto response = makeResponse(200,
            { { "X-Request-Id", requestId }, { "X-Server-Signature", "proof-" + requestId },
                { "X-Instance-Load", load }, { "Keep-Alive", "timeout=10" } },
            "done " + requestId);
        if (!socket->write(response))
            return;
    }
}

} // namespace review
