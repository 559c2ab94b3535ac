#include "testing/GossipLoop.h"

#include "base/Error.h"
#include "member/GossipCodec.h"
#include "member/MemberProfile.h"

#include <algorithm>
#include <utility>

namespace coriandergate::testing {

namespace {

    using member::GossipNode;
    using member::MemberState;

    constexpr std::size_t datagramOverheadBytes = 28;
    constexpr std::size_t callOverheadBytes = 320; // HTTP and TCP headers, one way
    constexpr std::chrono::microseconds nearDelay { 250 };
    constexpr std::chrono::microseconds regionDelay { 500 };
    constexpr std::chrono::microseconds farDelay { 10000 };
    constexpr std::size_t largeMessage = 40; // updates

    // sizeOf() is the encoded size with headers. Large tables are estimated from above, which is much faster.
    auto sizeOf(const member::GossipEnvelope& envelope) -> std::size_t
    {
        const auto overhead = envelope.isExchange() ? callOverheadBytes : datagramOverheadBytes;
        if (envelope.message.updates.size() < largeMessage)
            return overhead + member::encodeGossip(envelope.message).size();
        auto bytes = overhead;
        for (const auto& update : envelope.message.updates)
            bytes += member::estimatedEncodedBytes(update);
        return bytes;
    }

}

GossipLoop::GossipLoop(const Options& options)
    : m_options(options)
    , m_slots(options.nodes)
    , m_random(options.seed)
{
    for (std::size_t i = 0; i < m_slots.size(); ++i) {
        m_indexByAddress[addressOf(i)] = i;
        for (std::size_t target = 0; target < m_options.targetsPerNode; ++target) {
            const auto service = "service-" + std::to_string(m_random() % m_options.services);
            const auto host = addressOf(i).substr(0, addressOf(i).find(':'));
            m_slots[i].targets.push_back({ service, host + ":" + std::to_string(9000 + target), 6 });
        }
        std::sort(m_slots[i].targets.begin(), m_slots[i].targets.end(),
            [](const auto& left, const auto& right) { return left.service < right.service; });
        start(i);
    }
}

auto GossipLoop::run(std::chrono::milliseconds duration) -> void
{
    const auto end = m_now + duration;
    while (!m_events.empty() && m_events.top().at <= end) {
        const auto event = m_events.top();
        m_events.pop();
        m_now = event.at;
        handle(event);
    }
    m_now = end;
}

auto GossipLoop::runUntil(const std::function<bool()>& isDone, std::chrono::milliseconds limit,
    std::chrono::milliseconds step) -> std::optional<std::chrono::milliseconds>
{
    for (std::chrono::milliseconds passed { 0 }; passed <= limit; passed += step) {
        if (isDone())
            return passed;
        run(step);
    }
    return std::nullopt;
}

auto GossipLoop::stop(std::size_t node) -> void { m_slots[node].node.reset(); }

auto GossipLoop::start(std::size_t node) -> void
{
    auto& slot = m_slots[node];
    GossipNode::Options options;
    options.identity = { addressOf(node), m_random() };
    options.locality = localityOf(node);
    for (std::size_t i = 0; i < std::min(m_options.seeds, m_slots.size()); ++i)
        options.seeds.push_back(addressOf(i));
    options.generation = slot.generation++;
    options.randomSeed = m_random();
    slot.node = std::make_unique<GossipNode>(options, m_now);
    slot.node->setTargets(slot.targets);
    slot.isPaused = false;
    const auto phase = std::chrono::microseconds(m_random() % 100000);
    if (slot.generation == 2)
        push({ m_now + phase, 0, node, nullptr });
}

auto GossipLoop::resume(std::size_t node) -> void
{
    auto& slot = m_slots[node];
    slot.isPaused = false;
    for (auto& message : std::exchange(slot.waiting, {}))
        push({ m_now, 0, node, std::move(message) });
}

auto GossipLoop::announce(std::size_t node, const std::string& name) -> void
{
    m_slots[node].targets.push_back({ name, "127.0.0.1:1", 6 });
    m_slots[node].node->setTargets(m_slots[node].targets);
}

auto GossipLoop::countBelieving(std::size_t node, MemberState state) const -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(m_slots.begin(), m_slots.end(), [&](const Slot& slot) {
        const auto* const member = slot.node ? slot.node->find(addressOf(node)) : nullptr;
        return member != nullptr && member->record.state == state;
    }));
}

auto GossipLoop::countKnowing(std::size_t node, const std::string& name) const -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(m_slots.begin(), m_slots.end(), [&](const Slot& slot) {
        const auto* const member = slot.node ? slot.node->find(addressOf(node)) : nullptr;
        return member != nullptr && member->record.profile
            && std::any_of(member->record.profile->targets.begin(), member->record.profile->targets.end(),
                [&](const auto& target) { return target.service == name; });
    }));
}

auto GossipLoop::areViewsWhole() const -> bool
{
    const auto running
        = std::count_if(m_slots.begin(), m_slots.end(), [](const Slot& slot) { return slot.node != nullptr; });
    for (const auto& slot : m_slots) {
        if (!slot.node)
            continue;
        std::ptrdiff_t alive = 0;
        for (const auto& member : slot.node->members()) {
            const auto& other = m_slots[m_indexByAddress.at(member.record.address)].node;
            const auto isRight = other
                ? member.record.state == MemberState::Alive && member.record.generation == other->self().generation
                    && member.record.profileVersion == other->self().profileVersion
                : member.record.state == MemberState::Dead;
            if (!isRight)
                return false;
            alive += other ? 1 : 0;
        }
        if (alive != running - 1)
            return false;
    }
    return true;
}

auto GossipLoop::totals() const -> GossipNode::Counters
{
    GossipNode::Counters sum;
    for (const auto& slot : m_slots) {
        if (!slot.node)
            continue;
        const auto& counters = slot.node->counters();
        sum.probes += counters.probes;
        sum.failedProbes += counters.failedProbes;
        sum.suspicions += counters.suspicions;
        sum.deaths += counters.deaths;
        sum.refutations += counters.refutations;
        sum.pauses += counters.pauses;
        sum.exchanges += counters.exchanges;
    }
    return sum;
}

auto GossipLoop::push(Event event) -> void
{
    event.order = ++m_order;
    m_events.push(std::move(event));
}

auto GossipLoop::handle(const Event& event) -> void
{
    auto& slot = m_slots[event.to];
    if (!event.message) {
        push({ m_now + GossipNode::s_tickInterval, 0, event.to, nullptr });
        if (slot.node && !slot.isPaused)
            dispatch(event.to, slot.node->tick(m_now));
    } else if (slot.node && slot.isPaused) {
        slot.waiting.push_back(event.message);
    } else if (slot.node) {
        dispatch(event.to, slot.node->receive(*event.message, m_now));
    }
}

auto GossipLoop::dispatch(std::size_t from, std::vector<member::GossipEnvelope> envelopes) -> void
{
    for (auto& envelope : envelopes) {
        const auto found = m_indexByAddress.find(envelope.to);
        if (found == m_indexByAddress.end())
            continue;
        const auto to = found->second;
        const auto size = sizeOf(envelope);
        ++m_traffic.messages;
        m_traffic.bytes += size;
        m_traffic.farBytes += localityOf(from).region == localityOf(to).region ? 0 : size;
        m_traffic.exchangeBytes += envelope.isExchange() ? size : 0;
        const auto isLost = !envelope.isExchange() && std::uniform_real_distribution<>()(m_random) < m_options.lossRate;
        if (isLost || (m_isCut && m_isCut(from, to)))
            continue;
        Error reason;
        auto message = m_options.usesCodec
            ? member::decodeGossip(member::encodeGossip(envelope.message), reason).value()
            : std::move(envelope.message);
        push({ m_now + delay(from, to), 0, to, std::make_shared<const member::GossipMessage>(std::move(message)) });
    }
}

auto GossipLoop::addressOf(std::size_t node) const -> std::string
{
    return "10.0." + std::to_string(node / 250) + "." + std::to_string(1 + node % 250) + ":7101";
}

auto GossipLoop::localityOf(std::size_t node) const -> Locality
{
    const auto dataCentre = node % m_options.dataCentres;
    return { "region-" + std::to_string(dataCentre % m_options.regions), "dc-" + std::to_string(dataCentre) };
}

auto GossipLoop::delay(std::size_t from, std::size_t to) -> MonotonicDuration
{
    const auto here = localityOf(from);
    const auto there = localityOf(to);
    const auto base = here == there ? nearDelay : here.region == there.region ? regionDelay : farDelay;
    // Up to twice the least delay, so that messages overtake each other.
    return base + std::chrono::microseconds(m_random() % static_cast<std::uint64_t>(base.count()));
}

} // namespace coriandergate::testing
