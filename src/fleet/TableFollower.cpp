#include "fleet/TableFollower.h"

#include <algorithm>

namespace coriandergate::fleet {

using std::chrono::milliseconds;

TableFollower::TableFollower(boost::asio::io_context& io, StoreClient& feed, const Options& options)
    : m_feed(feed)
    , m_options(options)
    , m_timer(io)
{
}

auto TableFollower::start() -> void { read(); }

auto TableFollower::stop() -> void
{
    *m_isAlive = false;
    m_timer.cancel();
}

auto TableFollower::read() -> void
{
    m_feed.read(m_options.table, [this, alive = m_isAlive](StoreClient::Result result) {
        if (*alive)
            onReadDone(std::move(result));
    });
}

auto TableFollower::follow() -> void
{
    const auto wait = m_needsQuickAnswer ? milliseconds { 0 } : m_options.wait;
    m_feed.watch({ m_options.table, m_after, wait }, [this, alive = m_isAlive](StoreClient::Result result) {
        if (*alive)
            onFollowDone(std::move(result));
    });
}

auto TableFollower::catchUp() -> void
{
    if (!m_hasRead || m_isCatchingUp)
        return;
    m_isCatchingUp = true;
    m_feed.watch(
        { m_options.table, m_after, milliseconds { 0 } }, [this, alive = m_isAlive](StoreClient::Result result) {
            if (!*alive)
                return;
            m_isCatchingUp = false;
            onCaughtUp(std::move(result));
        });
}

// What was missed may be too old to be told as changes, and the long poll, at another daemon, may never learn so. Other
// failures show at the long poll as well, which retries.
auto TableFollower::onCaughtUp(StoreClient::Result result) -> void
{
    if (const auto* answer = std::get_if<StoreResponse>(&result)) {
        take(*answer, false);
        return;
    }
    if (std::get<StoreFailure>(result).kind != StoreFailure::Kind::HistoryTruncated)
        return;
    m_isCatchingUp = true;
    m_feed.read(m_options.table, [this, alive = m_isAlive](StoreClient::Result whole) {
        if (!*alive)
            return;
        m_isCatchingUp = false;
        if (const auto* answer = std::get_if<StoreResponse>(&whole))
            take(*answer, true);
    });
}

auto TableFollower::onReadDone(StoreClient::Result result) -> void
{
    if (const auto* failure = std::get_if<StoreFailure>(&result)) {
        retry(*failure);
        return;
    }
    m_hasRead = true;
    take(std::get<StoreResponse>(result), true);
    later(milliseconds { 0 });
}

auto TableFollower::onFollowDone(StoreClient::Result result) -> void
{
    if (const auto* failure = std::get_if<StoreFailure>(&result)) {
        if (failure->kind == StoreFailure::Kind::HistoryTruncated)
            m_hasRead = false;
        retry(*failure);
        return;
    }
    const auto& answer = std::get<StoreResponse>(result);
    take(answer, false);
    if (answer.rows.empty())
        m_settle = milliseconds { 0 };
    else
        m_settle = m_settle.count() == 0 ? m_options.settle : std::min(2 * m_settle, m_options.longestSettle);
    later(m_settle);
}

auto TableFollower::take(const StoreResponse& answer, bool isWhole) -> void
{
    m_retry = milliseconds { 0 };
    m_needsQuickAnswer = false;
    m_after = std::max(m_after, answer.newestVersion);
    // The answer's time first: who takes the rows may go by it.
    if (m_answered)
        m_answered(answer);
    if (m_rowsChanged && (isWhole || !answer.rows.empty()))
        m_rowsChanged(answer.rows, isWhole);
}

auto TableFollower::retry(const StoreFailure& failure) -> void
{
    m_needsQuickAnswer = true;
    if (m_failed)
        m_failed(failure.error);
    m_retry = m_retry.count() == 0 ? m_options.firstRetry : std::min(m_retry * 2, m_options.longestRetry);
    // Hosts that lost the store together don't come back together.
    std::uniform_int_distribution<milliseconds::rep> spread(m_retry.count() / 2, m_retry.count());
    later(milliseconds(spread(m_random)));
}

auto TableFollower::later(milliseconds delay) -> void
{
    m_timer.expires_after(delay);
    m_timer.async_wait([this, alive = m_isAlive](const boost::system::error_code& error) {
        if (error || !*alive)
            return;
        if (m_hasRead)
            follow();
        else
            read();
    });
}

} // namespace coriandergate::fleet
