#include "fleet/BootstrapReader.h"

#include "fleet/EraCheckedStore.h"
#include "fleet/HostRecord.h"
#include "fleet/RelayTransport.h"
#include "fleet/StoreVersion.h"
#include "log/Event.h"

#include <algorithm>
#include <map>

namespace coriandergate::fleet {

namespace {

    const log::Event copyFailed { 1941, log::Severity::Info, "copy from a peer failed",
        "another peer or the store is read instead" };
    const log::Event tableCopied { 1942, log::Severity::Info, "table copied from a peer",
        "the table, the peer, and the number of rows and the version of the copy" };

} // namespace

BootstrapReader::BootstrapReader(
    Scheduler& scheduler, EraCheckedStore& store, RelayTransport& transport, const Options& options)
    : m_scheduler(scheduler)
    , m_store(store)
    , m_transport(transport)
    , m_options(options)
    , m_random(options.randomSeed)
{
}

BootstrapReader::~BootstrapReader() { *m_isAlive = false; }

auto BootstrapReader::read(const std::string& table, StoreClient::Callback done) -> void
{
    if (m_peers && m_openConsultations == 0) {
        copyOrRead(table, *m_peers, done);
        return;
    }
    m_pendingReads.push_back({ table, std::move(done) });
    if (!m_peers && !m_isRequestingFirstHosts)
        readFirstHosts();
}

auto BootstrapReader::readFirstHosts() -> void
{
    m_isRequestingFirstHosts = true;
    auto range = hostRowRange(m_options.region);
    m_store.readRange({ .table = m_options.hostTable,
                          .firstKey = std::move(range.firstKey),
                          .endKey = std::move(range.endKey),
                          .limit = m_options.firstHosts },
        [this, alive = m_isAlive](StoreClient::Result result) {
            if (*alive)
                onFirstHosts(std::move(result));
        });
}

auto BootstrapReader::onFirstHosts(StoreClient::Result result) -> void
{
    m_isRequestingFirstHosts = false;
    const auto* response = std::get_if<StoreResponse>(&result);
    if (!response) {
        for (const auto& read : std::exchange(m_pendingReads, {}))
            read.done(result);
        return;
    }
    if (m_startStoreTime.count() == 0)
        m_startStoreTime = response->storeTime;
    if (m_clockCallback)
        m_clockCallback(*response);
    std::vector<BootstrapPeers::Peer> firstHosts;
    bool haveAllJustJoined = true;
    for (const auto& row : response->rows) {
        Error reason; // a row that can't be decoded is reported when the whole table is read
        const auto record = decodeHostRecord(row.key, row.value, reason);
        if (!record || record->state == HostRecord::State::Departed)
            continue;
        firstHosts.push_back({ row.key, record->peerAddress });
        haveAllJustJoined
            = haveAllJustJoined && response->storeTime - record->joinedAt < m_options.maximumFirstStartAge;
    }
    const bool mustWait = firstHosts.empty() || (haveAllJustJoined && !m_hasWaitedForHosts);
    if (m_options.isFirstStart && mustWait)
        giveEmptyHostList(*response);
    else
        setFirstHosts(firstHosts);
}

auto BootstrapReader::setFirstHosts(const std::vector<BootstrapPeers::Peer>& firstHosts) -> void
{
    if (m_peers)
        return;
    m_peers.emplace(m_options.hostKey, firstHosts, m_options.peers);
    for (const auto& peer : firstHosts) {
        if (peer.key != m_options.hostKey)
            m_consultedAddresses.push_back(peer.address);
    }
    std::shuffle(m_consultedAddresses.begin(), m_consultedAddresses.end(), m_random);
    m_consultedAddresses.resize(std::min(m_consultedAddresses.size(), m_options.consultedPeers));
    if (m_store.era() > 0 && !m_consultedAddresses.empty())
        consultPeers();
    else
        startPendingReads();
}

auto BootstrapReader::startPendingReads() -> void
{
    for (const auto& read : std::exchange(m_pendingReads, {}))
        copyOrRead(read.table, *m_peers, read.done);
}

auto BootstrapReader::consultPeers() -> void
{
    m_openConsultations = m_consultedAddresses.size();
    m_consultedEra = m_store.era();
    for (const auto& address : m_consultedAddresses) {
        m_transport.watch(address, { .table = m_options.operatorTable, .isSnapshot = true, .acceptsAnyAge = true },
            m_options.consultTimeout, [this, alive = m_isAlive](RelayTransport::Result result) {
                if (!*alive)
                    return;
                auto* rows = std::get_if<StoreResponse>(&result);
                if (rows && m_knownRowsCallback)
                    m_knownRowsCallback(m_options.operatorTable, std::move(*rows));
                onConsulted();
            });
    }
}

auto BootstrapReader::onConsulted() -> void
{
    if (--m_openConsultations > 0)
        return;
    for (const auto& give : std::exchange(m_heldResults, {}))
        give();
    startPendingReads();
}

auto BootstrapReader::readFromStore(const std::string& table, StoreClient::Callback done) -> void
{
    m_store.read(table, [this, alive = m_isAlive, table, done = std::move(done)](StoreClient::Result result) {
        if (!*alive)
            return;
        const bool mayBeOutdated = table == m_options.operatorTable && std::holds_alternative<StoreResponse>(result)
            && m_store.era() > m_consultedEra && !m_consultedAddresses.empty();
        if (!mayBeOutdated) {
            done(std::move(result));
            return;
        }
        m_heldResults.push_back([done, result = std::move(result)] { done(result); });
        if (m_openConsultations == 0)
            consultPeers();
    });
}

// The reads of other tables remain pending.
auto BootstrapReader::giveEmptyHostList(const StoreResponse& response) -> void
{
    auto partial = response;
    partial.rows.clear();
    partial.newestVersion = 0;
    partial.isPartial = true;
    m_hasWaitedForHosts = true;
    for (const auto& read : std::exchange(m_pendingReads, {})) {
        if (read.table == m_options.hostTable)
            read.done(partial);
        else
            m_pendingReads.push_back(read);
    }
}

// Each attempt has its own copy of `peers`, so that the tables' failures don't add up.
auto BootstrapReader::copyOrRead(
    const std::string& table, const BootstrapPeers& peers, const StoreClient::Callback& done) -> void
{
    const auto address = peers.choose(m_random());
    if (!address) {
        readFromStore(table, done);
        return;
    }
    const auto sentAt = m_scheduler.suspendAwareNow();
    m_transport.watch(*address, { .table = table, .wait = m_options.copyWait, .isSnapshot = true },
        m_options.copyTimeout,
        [this, alive = m_isAlive, address = *address, table, peers, done, sentAt](RelayTransport::Result result) {
            if (!*alive)
                return;
            if (auto* copy = std::get_if<StoreResponse>(&result); copy && isRecent(table, *copy)) {
                m_store.recordEra(eraOf(copy->newestVersion));
                copy->sentAt = sentAt;
                copy->receivedAt = m_scheduler.suspendAwareNow();
                copy->isRelayed = true;
                log::logEvent(tableCopied,
                    { { "table", table }, { "peer", address }, { "rows", std::to_string(copy->rows.size()) },
                        { "version", std::to_string(copy->newestVersion) } });
                onCopied(table, std::move(*copy), done);
                return;
            }
            const auto* error = std::get_if<Error>(&result);
            log::logEvent(copyFailed,
                { { "table", table }, { "peer", address },
                    { "why", error ? error->toText() : std::string("its rows are too old") } });
            auto others = peers;
            others.recordFailure(address);
            m_scheduler.runAfter(m_options.retryDelay, [this, alive, table, others, done] {
                if (*alive)
                    copyOrRead(table, others, done);
            });
        });
}

// A list of hosts that is older than this daemon may lack the newest row of its host, which tells whether its target
// had left. The changes since the copy are then requested from the store. Other tables may be as old as rows that
// relays send.
auto BootstrapReader::onCopied(const std::string& table, StoreResponse copy, const StoreClient::Callback& done) -> void
{
    if (table != m_options.hostTable || copy.storeTime >= m_startStoreTime) {
        done(std::move(copy));
        return;
    }
    const auto version = copy.newestVersion;
    m_store.watch({ .table = table, .after = version },
        [this, alive = m_isAlive, table, copy = std::move(copy), done](StoreClient::Result result) mutable {
            if (!*alive)
                return;
            if (auto* changes = std::get_if<StoreResponse>(&result))
                done(merge(std::move(copy), std::move(*changes)));
            else if (std::get<StoreFailure>(result).kind == StoreFailure::Kind::HistoryTruncated)
                m_store.read(table, done);
            else
                done(std::move(result));
        });
}

// Returns the rows of `copy` with the changes made since, as of the time of the changes.
auto BootstrapReader::merge(StoreResponse copy, StoreResponse changes) -> StoreResponse
{
    std::map<std::string, StoreRow> rows;
    for (auto* response : { &copy, &changes }) {
        for (auto& row : response->rows)
            rows[row.key] = std::move(row);
    }
    changes.rows.clear();
    for (auto& entry : rows)
        changes.rows.push_back(std::move(entry.second));
    changes.newestVersion = std::max(changes.newestVersion, copy.newestVersion);
    return changes;
}

auto BootstrapReader::isRecent(const std::string& table, const StoreResponse& copy) const -> bool
{
    const auto storeNow = m_storeClock ? m_storeClock() : std::nullopt;
    const auto maximumAge = table == m_options.hostTable ? m_options.maximumHostListAge : m_options.maximumAge;
    return storeNow && *storeNow - copy.storeTime <= maximumAge && eraOf(copy.newestVersion) >= m_store.era();
}

} // namespace coriandergate::fleet
