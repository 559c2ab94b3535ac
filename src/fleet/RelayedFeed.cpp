#include "fleet/RelayedFeed.h"

#include "base/Hash.h"
#include "fleet/HostDirectory.h"
#include "fleet/NewsCodec.h"
#include "http/Exchange.h"
#include "log/Event.h"

#include <algorithm>

namespace coriandergate::fleet {

using std::chrono::milliseconds;

namespace {

    const log::Event relayLost { 1940, log::Severity::Info, "relay of news lost",
        "the store or another relay is followed instead for a while" };

    constexpr int ok = 200;
    constexpr int serviceUnavailable = 503;

    auto whyNoNews(const net::HttpClient::Result& result) -> std::string
    {
        if (const auto* answer = std::get_if<http::Answer>(&result))
            return "status " + std::to_string(answer->status) + ": " + answer->body;
        return std::get<http::ExchangeFailure>(result).error.toText();
    }

    auto refuse(const std::shared_ptr<http::Exchange>& exchange, const char* why) -> void
    {
        exchange->answer(http::makeAnswer(serviceUnavailable, "text/plain", why));
    }

} // namespace

RelayedFeed::RelayedFeed(boost::asio::io_context& io, StoreFeed& store, net::HttpClient& hops, const Options& options)
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
    for (const auto& host : directory.hostsOf(here.region)) {
        const auto* record = directory.find(host);
        if (record && record->locality == here)
            byWeight.emplace_back(hashOf(host), host);
    }
    std::sort(byWeight.begin(), byWeight.end(), std::greater<> {});
    m_relays.clear();
    m_addresses.clear();
    for (const auto& [weight, host] : byWeight) {
        if (m_relays.size() == m_options.relaysOfDataCentre)
            break;
        m_relays.push_back(host);
        m_addresses[host] = directory.find(host)->peerAddress;
    }
}

auto RelayedFeed::isRelay() const -> bool
{
    return std::find(m_relays.begin(), m_relays.end(), m_options.self) != m_relays.end();
}

auto RelayedFeed::chooseRelay(MonotonicTime now) -> std::string
{
    if (isRelay())
        return {};
    std::vector<std::string> usable;
    for (const auto& relay : m_relays) {
        const auto avoided = m_avoidUntil.find(relay);
        if (avoided == m_avoidUntil.end() || now >= avoided->second)
            usable.push_back(relay);
    }
    return usable.empty() ? std::string {} : usable[m_random() % usable.size()];
}

auto RelayedFeed::read(const std::string& table, Callback done) -> void
{
    m_store.read(table, [this, alive = m_isAlive, table, done = std::move(done)](Result result) {
        if (*alive) {
            if (const auto* answer = std::get_if<StoreAnswer>(&result))
                remember(table, *answer, true);
        }
        done(std::move(result));
    });
}

auto RelayedFeed::write(const Write& write, Callback done) -> void { m_store.write(write, std::move(done)); }

auto RelayedFeed::follow(const Follow& follow, Callback done) -> void
{
    // A question that mustn't wait goes to the store itself: it follows a failure, or looks for something missed.
    const auto relay = follow.wait.count() == 0 ? std::string {} : chooseRelay(monotonicNow());
    if (relay.empty())
        followStore(follow, std::move(done));
    else
        followRelay(relay, follow, std::move(done));
}

auto RelayedFeed::followStore(const Follow& follow, Callback done) -> void
{
    auto asked = follow;
    // Others wait for what this host hears.
    if (isRelay() && follow.table == m_options.datedTable)
        asked.wait = std::min(asked.wait, m_options.relayWait);
    m_store.follow(asked, [this, alive = m_isAlive, table = follow.table, done = std::move(done)](Result result) {
        if (*alive) {
            if (const auto* answer = std::get_if<StoreAnswer>(&result))
                remember(table, *answer, false);
            else
                refuseWaiting(table);
        }
        done(std::move(result));
    });
}

auto RelayedFeed::followRelay(const std::string& relay, const Follow& follow, Callback done) -> void
{
    const auto sentAt = SuspendAwareClock::now();
    const bool isDated = follow.table == m_options.datedTable;
    const auto wait = isDated ? std::min(follow.wait, m_options.relayWait + m_options.answerTime) : follow.wait;
    m_hops.send(m_addresses[relay], encodeNewsAsk({ follow.table, follow.after, wait }),
        { .timeout = wait + m_options.hopTime },
        [this, alive = m_isAlive, relay, sentAt, table = follow.table, done = std::move(done)](
            net::HttpClient::Result result) {
            if (!*alive)
                return;
            const auto* received = std::get_if<http::Answer>(&result);
            Error reason { "follow relay", relay, whyNoNews(result) };
            auto answer = received && received->status == ok ? decodeNews(received->body, reason) : std::nullopt;
            const auto now = m_storeTime ? m_storeTime() : std::nullopt;
            const bool isOld
                = answer && now && table == m_options.datedTable && *now - answer->storeTime > m_options.oldestNews;
            if (!answer || isOld) {
                m_avoidUntil[relay] = monotonicNow() + m_options.relayBackoff;
                reason.reason = isOld ? "its news is old" : reason.reason;
                log::logEvent(relayLost, { { "why", reason.toText() } });
                done(StoreFailure { StoreFailure::Kind::NotDone, reason, {} });
                return;
            }
            answer->sentAt = sentAt;
            answer->receivedAt = SuspendAwareClock::now();
            answer->isPassedOn = true;
            // This host may become a relay, and must then know every row.
            remember(table, *answer, false);
            done(std::move(*answer));
        });
}

// Rows that aren't there any more went while no changes were heard; those who follow this host must be told.
auto RelayedFeed::markMissing(Table& table, const StoreAnswer& whole) -> void
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

auto RelayedFeed::remember(const std::string& table, const StoreAnswer& answer, bool isWhole) -> void
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
    kept.storeTime = std::max(kept.storeTime, answer.storeTime);
    kept.isKnown = kept.isKnown || isWhole;
    ++kept.confirmations;
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
    StoreAnswer answer;
    for (const auto& [key, row] : table.rows) {
        if (row.version > after)
            answer.rows.push_back(row);
    }
    answer.newestVersion = table.newestVersion;
    answer.storeTime = table.storeTime;
    exchange->answer(http::makeAnswer(ok, "application/cbor", encodeNews(answer)));
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
