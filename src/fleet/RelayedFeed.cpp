#include "fleet/RelayedFeed.h"

#include "base/Hash.h"
#include "fleet/HostDirectory.h"
#include "fleet/NewsCodec.h"
#include "http/Exchange.h"
#include "http/Status.h"
#include "log/Event.h"

#include <algorithm>

namespace coriandergate::fleet {

using std::chrono::milliseconds;

namespace {

    const log::Event relayLost { 1940, log::Severity::Info, "relay of news lost",
        "the store or another relay is followed instead for a while" };

    auto whyNoNews(const net::HttpClient::Result& result) -> std::string
    {
        if (const auto* answer = std::get_if<http::Answer>(&result))
            return "status " + std::to_string(answer->status) + ": " + answer->body;
        return std::get<http::ExchangeFailure>(result).error.toText();
    }

    auto refuse(const std::shared_ptr<http::Exchange>& exchange, const char* why) -> void
    {
        exchange->answer(http::makeAnswer(http::statusUnavailable, "text/plain", why));
    }

} // namespace

RelayedFeed::RelayedFeed(boost::asio::io_context& io, StoreClient& store, net::HttpClient& hops, const Options& options)
    : m_io(io)
    , m_store(store)
    , m_hops(hops)
    , m_options(options)
{
}

auto RelayedFeed::setStoreTime(std::function<std::optional<milliseconds>()> storeTime) -> void
{
    m_storeTime = std::move(storeTime);
}

auto RelayedFeed::setHosts(const HostDirectory& directory, const Locality& here) -> void
{
    std::vector<std::pair<std::uint64_t, std::string>> byWeight;
    for (const auto& host : directory.hostsInRegion(here.region))
        byWeight.emplace_back(hashOf(host), host);
    std::sort(byWeight.begin(), byWeight.end(), std::greater<> {});
    std::map<std::string, std::size_t> found; // by data centre
    m_relays.clear();
    m_fartherRelays.clear();
    for (const auto& [weight, host] : byWeight) {
        const auto* record = directory.find(host);
        if (!record || found[record->locality.dataCentre]++ >= m_options.relaysOfDataCentre)
            continue;
        (record->locality == here ? m_relays : m_fartherRelays).push_back({ host, record->peerAddress });
    }
}

auto RelayedFeed::isRelay() const -> bool
{
    return std::any_of(
        m_relays.begin(), m_relays.end(), [this](const Relay& relay) { return relay.host == m_options.self; });
}

auto RelayedFeed::isUsable(const Relay& relay, MonotonicTime now) const -> bool
{
    const auto avoided = m_avoidUntil.find(relay.host);
    return relay.host != m_options.self && (avoided == m_avoidUntil.end() || now >= avoided->second);
}

auto RelayedFeed::firstRelay(MonotonicTime now) const -> const Relay*
{
    const auto first = std::find_if(m_relays.begin(), m_relays.end(),
        [&](const Relay& relay) { return relay.host == m_options.self || isUsable(relay, now); });
    return first == m_relays.end() ? nullptr : &*first;
}

auto RelayedFeed::chooseOf(const std::vector<Relay>& relays, MonotonicTime now) -> std::optional<Relay>
{
    std::vector<Relay> usable;
    std::copy_if(relays.begin(), relays.end(), std::back_inserter(usable),
        [&](const Relay& relay) { return isUsable(relay, now); });
    return usable.empty() ? std::nullopt : std::optional(usable[m_random() % usable.size()]);
}

auto RelayedFeed::chooseRelay(MonotonicTime now) -> std::optional<Relay>
{
    if (isRelay() && !isStoreAway(now)) {
        const auto* first = firstRelay(now);
        return first->host == m_options.self ? std::nullopt : std::optional(*first);
    }
    auto relay = chooseOf(m_relays, now);
    return relay ? relay : chooseOf(m_fartherRelays, now);
}

auto RelayedFeed::read(const std::string& table, Callback done) -> void
{
    m_store.read(table, [this, alive = m_isAlive, table, done = std::move(done)](Result result) {
        if (*alive) {
            if (const auto* answer = std::get_if<StoreResponse>(&result))
                remember(table, *answer, true);
        }
        done(std::move(result));
    });
}

auto RelayedFeed::write(const WriteRequest& write, Callback done) -> void { m_store.write(write, std::move(done)); }

auto RelayedFeed::watch(const WatchRequest& watch, Callback done) -> void
{
    const auto now = monotonicNow();
    auto asked = watch;
    if (timeToOldNews(watch) < m_options.shortestQuestion)
        asked.wait = milliseconds { 0 };
    // A question that mustn't wait goes to the store itself: it looks for something missed.
    const bool isForStore = asked.wait.count() == 0 && !isStoreAway(now);
    if (const auto relay = isForStore ? std::nullopt : chooseRelay(now))
        followRelay(*relay, asked, std::move(done));
    else
        followStore(asked, std::move(done));
}

auto RelayedFeed::isStoreAway(MonotonicTime now) const -> bool
{
    return m_storeFailures >= m_options.failuresToLeaveStore && now < m_avoidStoreUntil;
}

// How long until what is known here grows too old.
auto RelayedFeed::timeToOldNews(const WatchRequest& watch) const -> milliseconds
{
    const auto now = m_storeTime ? m_storeTime() : std::nullopt;
    const auto kept = m_tables.find(watch.table);
    if (watch.table != m_options.datedTable || !now || kept == m_tables.end())
        return milliseconds::max();
    return m_options.oldestNews - (*now - kept->second.storeTime);
}

auto RelayedFeed::followStore(const WatchRequest& watch, Callback done) -> void
{
    auto asked = watch;
    // Others wait for what this host hears.
    if (isRelay() && watch.table == m_options.datedTable)
        asked.wait = std::min(asked.wait, m_options.relayWait);
    m_store.watch(asked, [this, alive = m_isAlive, table = watch.table, done = std::move(done)](Result result) {
        if (*alive) {
            noteStore(table, result);
            if (const auto* answer = std::get_if<StoreResponse>(&result))
                remember(table, *answer, false);
            else
                refuseWaiting(table);
        }
        done(std::move(result));
    });
}

// A store that serves others but not this host is left alone for a while. One failure says little: the store may have
// cut every host's question, and is asked again at once.
auto RelayedFeed::noteStore(const std::string& table, const Result& result) -> void
{
    const auto* failure = std::get_if<StoreFailure>(&result);
    const bool isAway
        = failure && (failure->kind == StoreFailure::Kind::NotApplied || failure->kind == StoreFailure::Kind::Unknown);
    if (!isAway)
        m_storeFailures = 0;
    else if (table == m_options.datedTable) // the questions for several tables fail together
        ++m_storeFailures;
    m_avoidStoreUntil = monotonicNow() + m_options.storeBackoff;
}

auto RelayedFeed::followRelay(const Relay& relay, const WatchRequest& watch, Callback done) -> void
{
    const auto sentAt = SuspendAwareClock::now();
    const bool isDated = watch.table == m_options.datedTable;
    const auto wait = isDated ? std::min(watch.wait, m_options.relayWait + m_options.answerTime) : watch.wait;
    // A host that the store doesn't serve has no other way to newer news, so it lets relays take their time.
    const auto longest = isStoreAway(monotonicNow()) ? milliseconds::max() : timeToOldNews(watch);
    const auto timeout = std::max(m_options.shortestQuestion, std::min(wait + m_options.hopTime, longest));
    m_hops.send(relay.address, encodeNewsAsk({ watch.table, watch.after, wait }), { .timeout = timeout },
        [this, alive = m_isAlive, relay, sentAt, watch, isDated, done = std::move(done)](
            net::HttpClient::Result result) {
            if (!*alive)
                return;
            const auto* received = std::get_if<http::Answer>(&result);
            Error reason { "follow relay", relay.host, whyNoNews(result) };
            auto answer
                = received && received->status == http::statusOk ? decodeNews(received->body, reason) : std::nullopt;
            const auto now = m_storeTime ? m_storeTime() : std::nullopt;
            const bool isOld = answer && now && isDated && *now - answer->storeTime > m_options.oldestNews;
            if (!answer || isOld) {
                reason.reason = isOld ? "its news is old" : reason.reason;
                onRelayFailed(relay, reason, watch, done);
                return;
            }
            answer->sentAt = sentAt;
            answer->receivedAt = SuspendAwareClock::now();
            answer->isPassedOn = true;
            // This host may become a relay, and must then know every row.
            remember(watch.table, *answer, false);
            done(std::move(*answer));
        });
}

auto RelayedFeed::onRelayFailed(const Relay& relay, const Error& reason, const WatchRequest& watch, Callback done)
    -> void
{
    const auto now = monotonicNow();
    m_avoidUntil[relay.host] = now + m_options.relayBackoff;
    log::logEvent(relayLost, { { "why", reason.toText() } });
    this->watch(watch, std::move(done));
}

// Rows that aren't there any more went while no changes were heard; those who follow this host must be told.
auto RelayedFeed::markMissing(Table& table, const StoreResponse& whole) -> void
{
    for (auto& entry : table.rows) {
        const auto& key = entry.first;
        auto& row = entry.second;
        const bool isThere = std::any_of(
            whole.rows.begin(), whole.rows.end(), [&key](const StoreRow& other) { return other.key == key; });
        if (!isThere && !row.isRemoved)
            row = { key, "", whole.newestVersion, true };
    }
}

auto RelayedFeed::remember(const std::string& table, const StoreResponse& answer, bool isWhole) -> void
{
    auto& kept = m_tables[table];
    if (isWhole)
        markMissing(kept, answer);
    for (const auto& row : answer.rows) {
        auto& known = kept.rows[row.key];
        if (row.version >= known.version)
            known = row;
    }
    kept.newestVersion = std::max(kept.newestVersion, answer.newestVersion);
    kept.isKnown = kept.isKnown || isWhole;
    // Two relays that follow each other would else confirm each other's old news without end.
    if (answer.storeTime > kept.storeTime)
        ++kept.confirmations;
    kept.storeTime = std::max(kept.storeTime, answer.storeTime);
    wakeWaiting(table);
}

auto RelayedFeed::hasNewsFor(const Table& table, const Waiting& waiting) const -> bool
{
    if (waiting.table == m_options.datedTable && table.confirmations > waiting.confirmations)
        return true;
    return std::any_of(table.rows.begin(), table.rows.end(),
        [&waiting](const auto& entry) { return entry.second.version > waiting.after; });
}

auto RelayedFeed::wakeWaiting(const std::string& table) -> void
{
    const auto& kept = m_tables[table];
    for (auto one = m_waiting.begin(); one != m_waiting.end();) {
        if (one->table != table || !hasNewsFor(kept, *one)) {
            ++one;
            continue;
        }
        const auto waiting = *one;
        one = m_waiting.erase(one);
        waiting.timer->cancel();
        answerFrom(kept, waiting.after, waiting.exchange);
    }
}

// Those who follow a relay that lost the store turn elsewhere at once.
auto RelayedFeed::refuseWaiting(const std::string& table) -> void
{
    for (auto one = m_waiting.begin(); one != m_waiting.end();) {
        if (one->table != table) {
            ++one;
            continue;
        }
        const auto waiting = *one;
        one = m_waiting.erase(one);
        waiting.timer->cancel();
        refuse(waiting.exchange, "the store isn't heard");
    }
}

auto RelayedFeed::answerFrom(const Table& table, std::uint64_t after, const std::shared_ptr<http::Exchange>& exchange)
    -> void
{
    StoreResponse answer;
    for (const auto& [key, row] : table.rows) {
        if (row.version > after)
            answer.rows.push_back(row);
    }
    answer.newestVersion = table.newestVersion;
    answer.storeTime = table.storeTime;
    exchange->answer(http::makeAnswer(http::statusOk, "application/cbor", encodeNews(answer)));
}

auto RelayedFeed::handle(const std::shared_ptr<http::Exchange>& exchange) -> void
{
    Error reason;
    const auto ask = decodeNewsAsk(exchange->request().body, reason);
    const auto kept = ask ? m_tables.find(ask->table) : m_tables.end();
    if (!isRelay() || kept == m_tables.end() || !kept->second.isKnown) {
        refuse(exchange, ask ? "not a relay" : "unreadable");
        return;
    }
    // A table is passed on whole or by its changes; removed rows stay known as removed.
    const auto& table = kept->second;
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_io, ask->wait);
    const Waiting waiting { ask->table, ask->after, table.confirmations, exchange, timer };
    if (hasNewsFor(table, waiting)) {
        answerFrom(table, ask->after, exchange);
        return;
    }
    m_waiting.push_back(waiting);
    timer->async_wait([this, alive = m_isAlive, exchange, table = ask->table, after = ask->after](
                          const boost::system::error_code& error) {
        if (error || !*alive)
            return;
        m_waiting.remove_if([&exchange](const Waiting& one) { return one.exchange == exchange; });
        answerFrom(m_tables[table], after, exchange);
    });
    exchange->onAbandoned([this, alive = m_isAlive, raw = exchange.get()] {
        if (*alive)
            m_waiting.remove_if([raw](const Waiting& one) {
                if (one.exchange.get() == raw)
                    one.timer->cancel();
                return one.exchange.get() == raw;
            });
    });
}

} // namespace coriandergate::fleet
