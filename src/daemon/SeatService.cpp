#include "daemon/SeatService.h"

#include "base/Error.h"
#include "base/Hash.h"
#include "http/WorkerPool.h"
#include "kernel/Kernel.h"
#include "log/Event.h"
#include "member/PeerTable.h"
#include "proxy/ProxyContext.h"
#include "rpc/RpcClient.h"
#include "rpc/RpcRegistry.h"
#include "seat/SeatDirectory.h"
#include "seat/SeatLeaseClient.h"
#include "seat/SeatLeaseGrantor.h"
#include "settings/SettingDefinition.h"
#include "settings/Settings.h"
#include "store/MemoryStore.h"
#include "store/RemoteStore.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <set>

namespace coriandergate::daemon {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

    using settings::IntegerKind;
    using settings::SettingRegistration;

    const SettingRegistration seatCount { { "seat-count", IntegerKind { 1, 4096 }, "64",
        "parts of the space of keys, when the first seat map is written; later it never changes" } };

    const log::Event seatTaken { 1401, log::Severity::Info, "seat taken",
        "this daemon holds the seat from now on; its accounts' buckets start empty" };
    const log::Event seatLost { 1402, log::Severity::Warning, "seat given up",
        "a newer map, or a majority of its guards is not heard; without a new map, this host's network" };
    const log::Event mapAdopted { 1403, log::Severity::Info, "seat map adopted", "the epoch that is in force here" };
    const log::Event mapWritten { 1404, log::Severity::Info, "seat map written", "this daemon planned the new epoch" };
    const log::Event mapUnreadable { 1405, log::Severity::Error, "seat map unreadable",
        "the row of the seat map in the store; the reason says what is wrong with it" };

    constexpr milliseconds maintainInterval { 500 };
    constexpr milliseconds messageTimeout { 1000 };
    constexpr milliseconds mapTimeout { 2000 };
    constexpr auto messagesMethod = "seat.messages";
    constexpr auto mapMethod = "seat.map";
    constexpr auto startedMethod = "seat.started";
    constexpr auto rowKey = "seats/map";

    auto encodeMessages(const std::vector<seat::SeatMessage>& messages) -> json
    {
        auto encoded = json::array();
        for (const auto& message : messages)
            encoded.push_back(seat::encodeSeatMessage(message));
        return { { "messages", encoded } };
    }

    auto decodeMessages(const json& document, Error& reason) -> std::optional<std::vector<seat::SeatMessage>>
    {
        if (!document.is_object() || !document.contains("messages") || !document["messages"].is_array()) {
            reason = { "decode seat messages", "", "an array 'messages' is needed" };
            return std::nullopt;
        }
        std::vector<seat::SeatMessage> messages;
        for (const auto& text : document["messages"]) {
            auto message = seat::decodeSeatMessage(text.is_string() ? text.get<std::string>() : std::string(), reason);
            if (!message)
                return std::nullopt;
            messages.push_back(std::move(*message));
        }
        return messages;
    }

} // namespace

SeatService::SeatService(kernel::Kernel& kernel)
    : m_self(kernel.find<proxy::ProxyContext>()->self)
    , m_locality(kernel.find<proxy::ProxyContext>()->locality)
    , m_peers(kernel.find<member::PeerTable>())
    , m_calls(kernel.find<rpc::RpcClient>())
    , m_ledger(std::make_shared<seat::SeatLeaseGrantor>(m_self, seat::SeatLeaseOptions {}))
    , m_authority(std::make_shared<seat::SeatLeaseClient>(m_self, *m_ledger, seat::SeatLeaseOptions {}))
    , m_directory(std::make_shared<seat::SeatDirectory>())
{
    const auto settings = kernel.find<settings::Settings>();
    m_plannerOptions.seatCount = static_cast<std::size_t>(settings->integer("seat-count"));
    openStore(kernel, *settings);
    addMetrics(kernel);
}

auto SeatService::releaseAll() -> void { send(m_authority->releaseAll(monotonicNow())); }

auto SeatService::openStore(kernel::Kernel& kernel, const settings::Settings& settings) -> void
{
    const auto& address = settings.text("store");
    m_hasSharedStore = !address.empty();
    if (!m_hasSharedStore) {
        m_store = std::make_shared<store::MemoryStore>();
        return;
    }
    constexpr std::size_t worker = 0;
    m_store = std::make_shared<store::RemoteStore>(*kernel.find<http::WorkerPool>(), worker, address,
        store::RemoteStore::Options { .timeout = settings.duration("store-timeout-ms") });
}

auto SeatService::addMethods(rpc::RpcRegistry& registry) -> void
{
    registry.add(
        messagesMethod, [this](const json& parameters, Error& reason) { return answerMessages(parameters, reason); });
    registry.add(mapMethod, [this](const json& parameters, Error&) { return answerMap(parameters); });
    registry.add(startedMethod, [this](const json&, Error&) -> std::optional<json> {
        auto started = json::array();
        for (const auto& [number, epoch] : m_authority->leasedEpochs(monotonicNow()))
            started.push_back({ number, epoch });
        return json { { "started", started } };
    });
}

auto SeatService::addMetrics(kernel::Kernel& kernel) -> void
{
    auto& registry = *kernel.find<prometheus::Registry>();
    m_heldGauge = &prometheus::BuildGauge()
                       .Name("coriandergate_seats_held")
                       .Help("Seats that this daemon holds")
                       .Register(registry)
                       .Add({});
    m_epochGauge = &prometheus::BuildGauge()
                        .Name("coriandergate_seat_map_epoch")
                        .Help("Epoch of the seat map in force here")
                        .Register(registry)
                        .Add({});
    m_messageCounter = &prometheus::BuildCounter()
                            .Name("coriandergate_seat_messages_total")
                            .Help("Messages about leases of seats sent to other daemons")
                            .Register(registry)
                            .Add({});
}

auto SeatService::tick() -> void
{
    const auto now = monotonicNow();
    send(m_authority->tick(now));
    noteTenures(now);
    if (now < m_nextMaintain)
        return;
    m_nextMaintain = now + maintainInterval;
    maintain();
}

auto SeatService::send(const Messages& messages) -> void
{
    std::map<std::string, Messages> batches;
    for (const auto& message : messages) {
        const auto& to = seat::recipientOf(message);
        if (to != m_self) {
            batches[to.address].push_back(message);
            continue;
        }
        if (const auto answer = receive(message, monotonicNow()))
            receive(*answer, monotonicNow());
    }
    for (const auto& [address, batch] : batches)
        sendTo(address, batch);
}

auto SeatService::sendTo(const std::string& address, const Messages& messages) -> void
{
    m_messageCounter->Increment(static_cast<double>(messages.size()));
    // The answers may come when this plug-in has gone; what they are for lives on with them.
    m_calls->call(address, messagesMethod, encodeMessages(messages), messageTimeout,
        [authority = m_authority](const rpc::RpcResult& result) {
            const auto* const answer = std::get_if<json>(&result);
            Error reason;
            const auto answers = answer ? decodeMessages(*answer, reason) : std::nullopt;
            for (const auto& message : answers.value_or(Messages {})) {
                if (const auto* const renewal = std::get_if<seat::LeaseResponse>(&message))
                    authority->handle(*renewal, monotonicNow());
                else if (const auto* const promise = std::get_if<seat::PrepareResponse>(&message))
                    authority->handle(*promise, monotonicNow());
            }
        });
}

auto SeatService::receive(const seat::SeatMessage& message, MonotonicTime now) -> std::optional<seat::SeatMessage>
{
    if (const auto* const renewalAsk = std::get_if<seat::LeaseRequest>(&message))
        return m_ledger->handle(*renewalAsk, now);
    if (const auto* const promiseAsk = std::get_if<seat::PrepareRequest>(&message))
        return m_ledger->handle(*promiseAsk, now);
    if (const auto* const release = std::get_if<seat::LeaseRelease>(&message))
        m_ledger->release(*release, now);
    else if (const auto* const renewal = std::get_if<seat::LeaseResponse>(&message))
        m_authority->handle(*renewal, now);
    else if (const auto* const promise = std::get_if<seat::PrepareResponse>(&message))
        m_authority->handle(*promise, now);
    return std::nullopt;
}

auto SeatService::answerMessages(const json& parameters, Error& reason) -> std::optional<json>
{
    const auto messages = decodeMessages(parameters, reason);
    if (!messages)
        return std::nullopt;
    Messages answers;
    for (const auto& message : *messages) {
        if (const auto answer = receive(message, monotonicNow()))
            answers.push_back(*answer);
    }
    return encodeMessages(answers);
}

auto SeatService::answerMap(const json& parameters) const -> std::optional<json>
{
    const auto map = m_directory->map();
    if (map.epoch <= parameters.value("since", std::uint64_t { 0 }))
        return json::object();
    return json { { "map", seat::encodeSeatMap(map) } };
}

auto SeatService::adopt(const seat::SeatMap& map) -> void
{
    if (map.epoch <= m_directory->map().epoch)
        return;
    const auto now = monotonicNow();
    m_ledger->adopt(map, now);
    m_directory->adopt(map);
    send(m_authority->adopt(map, now));
    if (m_hasSharedStore)
        m_peers->advertiseVersions(0, map.epoch);
    std::vector<std::string> addresses;
    for (const auto& daemon : unknownDaemons(map))
        addresses.push_back(daemon.address);
    m_peers->addPeers(addresses);
    m_epochGauge->Set(static_cast<double>(map.epoch));
    log::logEvent(mapAdopted, { { "epoch", std::to_string(map.epoch) } });
}

auto SeatService::fetchMap() -> void
{
    const auto peers = m_peers->current();
    const auto epoch = m_directory->map().epoch;
    if (!m_hasSharedStore || peers->seatEpoch <= epoch)
        return;
    std::vector<std::string> alive;
    for (const auto& peer : peers->peers) {
        if (peer.state == member::MemberState::Alive)
            alive.push_back(peer.identity.address);
    }
    if (alive.empty())
        return;
    // Spread by time and address, so that not all ask the same daemon.
    const auto now = static_cast<std::uint64_t>(monotonicNow().time_since_epoch().count());
    const auto& peer = alive[hashOf(m_self.address, now) % alive.size()];
    m_calls->call(
        peer, mapMethod, { { "since", epoch } }, mapTimeout, [weak = weak_from_this()](const rpc::RpcResult& result) {
            const auto self = weak.lock();
            const auto* const answer = std::get_if<json>(&result);
            if (!self || !answer || !answer->contains("map") || !(*answer)["map"].is_string())
                return;
            Error reason;
            if (const auto map = seat::decodeSeatMap((*answer)["map"].get<std::string>(), reason))
                self->adopt(*map);
            else
                log::logEvent(mapUnreadable, { { "reason", reason.toText() } });
        });
}

auto SeatService::maintain() -> void
{
    fetchMap();
    if (!isPlanner())
        return;
    askStarted();
    readRow();
}

auto SeatService::askStarted() -> void
{
    std::set<std::string> holders;
    const auto map = m_directory->map();
    for (const auto& seat : map.seats) {
        if (!seat.formerEpochs.empty() && seat.holder != m_self)
            holders.insert(seat.holder.address);
    }
    {
        const MutexLock lock(m_mutex);
        for (const auto& [number, epoch] : m_authority->leasedEpochs(monotonicNow()))
            m_started[number] = epoch;
    }
    for (const auto& holder : holders) {
        m_calls->call(
            holder, startedMethod, json::object(), mapTimeout, [weak = weak_from_this()](const rpc::RpcResult& result) {
                const auto* const answer = std::get_if<json>(&result);
                if (const auto self = weak.lock(); self && answer)
                    self->takeStarted(*answer);
            });
    }
}

auto SeatService::takeStarted(const json& answer) -> void
{
    if (!answer.contains("started") || !answer["started"].is_array())
        return;
    const MutexLock lock(m_mutex);
    for (const auto& entry : answer["started"]) {
        if (entry.is_array() && entry.size() == 2 && entry[0].is_number_unsigned() && entry[1].is_number_unsigned())
            m_started[entry[0].get<std::uint32_t>()] = entry[1].get<std::uint64_t>();
    }
}

auto SeatService::readRow() -> void
{
    {
        const MutexLock lock(m_mutex);
        if (std::exchange(m_isStoreBusy, true))
            return;
    }
    m_store->read(rowKey, [weak = weak_from_this()](const store::ReadResult& result) {
        if (const auto self = weak.lock())
            self->onRow(result);
    });
}

auto SeatService::onRow(const store::ReadResult& result) -> void
{
    const auto* const row = std::get_if<std::optional<store::Row>>(&result);
    const auto isEmpty = row && !*row;
    std::optional<seat::SeatMap> map;
    if (row && *row) {
        Error reason;
        map = seat::decodeSeatMap((*row)->value, reason);
        if (!map)
            log::logEvent(mapUnreadable, { { "reason", reason.toText() } });
    }
    {
        const MutexLock lock(m_mutex);
        m_isStoreBusy = false;
        if (!isEmpty && !map)
            return;
        m_rowVersion = isEmpty ? 0 : (*row)->version;
    }
    if (map)
        adopt(*map);
    planAndWrite();
}

auto SeatService::planAndWrite() -> void
{
    seat::SeatPlannerInput input { m_directory->map(), liveDaemons(), {}, {} };
    store::Transaction transaction;
    {
        const MutexLock lock(m_mutex);
        input.leasedEpochs = m_started;
        const auto map = seat::planSeatMap(input, m_plannerOptions);
        if (!map || m_isStoreBusy)
            return;
        m_isStoreBusy = true;
        transaction.operationId = "seat-map-" + std::to_string(map->epoch) + "-" + std::to_string(m_self.incarnation);
        transaction.writes.push_back({ rowKey, m_rowVersion, seat::encodeSeatMap(*map) });
    }
    // An answer that is lost is resolved by the next read of the row.
    const auto value = transaction.writes.front().value;
    m_store->commit(std::move(transaction), [weak = weak_from_this(), value](const store::CommitResult& result) {
        Error reason;
        if (const auto self = weak.lock())
            self->onCommit(result, *seat::decodeSeatMap(value, reason));
    });
}

auto SeatService::onCommit(const store::CommitResult& result, const seat::SeatMap& map) -> void
{
    {
        const MutexLock lock(m_mutex);
        m_isStoreBusy = false;
    }
    if (!std::holds_alternative<store::Committed>(result))
        return;
    log::logEvent(mapWritten, { { "epoch", std::to_string(map.epoch) } });
    adopt(map);
}

auto SeatService::isPlanner() const -> bool
{
    const auto live = liveDaemons();
    return std::all_of(live.begin(), live.end(), [this](const auto& statement) {
        const auto theirs = hashOf(statement.identity.address);
        const auto own = hashOf(m_self.address);
        return statement.identity == m_self || statement.isLeaving || own < theirs;
    });
}

// Daemons that the map names and gossip has never spoken of: they are taken to live, and gossip is told of them.
auto SeatService::unknownDaemons(const seat::SeatMap& map) const -> std::vector<DaemonIdentity>
{
    std::set<DaemonIdentity> unknown;
    const auto peers = m_peers->current();
    const auto note = [&](const DaemonIdentity& daemon) {
        if (daemon.address != m_self.address && !peers->find(daemon.address))
            unknown.insert(daemon);
    };
    for (const auto& seat : map.seats) {
        note(seat.holder);
        std::for_each(seat.grantors.begin(), seat.grantors.end(), note);
    }
    return { unknown.begin(), unknown.end() };
}

auto SeatService::liveDaemons() const -> std::vector<seat::LiveDaemon>
{
    std::vector<seat::LiveDaemon> live { { m_self, m_locality, false } };
    // Without a common store nothing can be agreed: each daemon counts for itself alone.
    if (!m_hasSharedStore)
        return live;
    for (const auto& peer : m_peers->current()->peers) {
        if (peer.state != member::MemberState::Dead)
            live.push_back({ peer.identity, peer.locality, peer.state == member::MemberState::Leaving });
    }
    for (const auto& daemon : unknownDaemons(m_directory->map()))
        live.push_back({ daemon, m_locality, false });
    return live;
}

auto SeatService::noteTenures(MonotonicTime now) -> void
{
    auto held = m_authority->heldSeats(now);
    const auto isIn = [](const auto& seats, auto seat) { return std::binary_search(seats.begin(), seats.end(), seat); };
    std::string taken;
    std::string lost;
    for (const auto seat : held)
        taken += isIn(m_heldSeats, seat) ? "" : std::to_string(seat) + " ";
    for (const auto seat : m_heldSeats)
        lost += isIn(held, seat) ? "" : std::to_string(seat) + " ";
    if (!taken.empty())
        log::logEvent(seatTaken, { { "seats", taken } });
    if (!lost.empty())
        log::logEvent(seatLost, { { "seats", lost } });
    m_heldSeats = std::move(held);
    m_heldGauge->Set(static_cast<double>(m_heldSeats.size()));
}

} // namespace coriandergate::daemon
