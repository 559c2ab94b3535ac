#include "store/MemoryStore.h"

#include <utility>

namespace coriandergate::store {

namespace {

    auto storeError(std::string step, std::string reason) -> Error
    {
        return { std::move(step), "memory", std::move(reason) };
    }

    auto isDownError(std::string step) -> Unavailable { return { storeError(std::move(step), "the store is down") }; }

    auto takeOne(std::uint64_t& left) -> bool
    {
        if (left == 0)
            return false;
        --left;
        return true;
    }

} // namespace

auto MemoryStore::commit(Transaction transaction, CommitCallback done) -> void { done(commitNow(transaction)); }

auto MemoryStore::commitNow(const Transaction& transaction) -> CommitResult
{
    const MutexLock lock(m_mutex);
    ++m_counts.writes;
    if (m_faults.isDown)
        return isDownError("commit transaction");
    if (takeOne(m_faults.dropCommits))
        return OutcomeUnknown { storeError("commit transaction", "no answer came") };
    if (!transaction.writes.empty() && takeOne(m_faults.loseToAnotherWriter)) {
        auto& row = m_rows[transaction.writes.front().key];
        row.key = transaction.writes.front().key;
        row.operationId = "another-writer";
        ++row.version;
    }
    auto result = applyLocked(transaction);
    if (std::holds_alternative<Committed>(result) && takeOne(m_faults.loseCommitAnswers))
        return OutcomeUnknown { storeError("commit transaction", "no answer came") };
    return result;
}

auto MemoryStore::applyLocked(const Transaction& transaction) -> CommitResult
{
    for (const auto& write : transaction.writes) {
        const auto found = m_rows.find(write.key);
        const auto version = found == m_rows.end() ? 0 : found->second.version;
        if (version != write.expectedVersion)
            return ConditionFailed { found == m_rows.end() ? Row { write.key, 0, {}, {} } : found->second };
    }
    for (const auto& write : transaction.writes) {
        m_counts.bytesWritten += write.value.size();
        m_rows[write.key] = { write.key, write.expectedVersion + 1, write.value, transaction.operationId };
    }
    return Committed {};
}

auto MemoryStore::read(std::string_view key, ReadCallback done) -> void
{
    done([&]() -> ReadResult {
        const MutexLock lock(m_mutex);
        ++m_counts.reads;
        if (m_faults.isDown)
            return isDownError("read row");
        const auto found = m_rows.find(key);
        if (found == m_rows.end())
            return std::optional<Row> {};
        m_counts.bytesRead += found->second.value.size();
        return std::optional<Row> { found->second };
    }());
}

auto MemoryStore::list(std::string_view prefix, std::string_view after, std::size_t limit, ListCallback done) -> void
{
    done([&]() -> ListResult {
        const MutexLock lock(m_mutex);
        ++m_counts.reads;
        if (m_faults.isDown)
            return isDownError("list rows");
        std::vector<Row> rows;
        auto row = after < prefix ? m_rows.lower_bound(prefix) : m_rows.upper_bound(after);
        for (; row != m_rows.end() && row->first.starts_with(prefix) && rows.size() < limit; ++row) {
            m_counts.bytesRead += row->second.value.size();
            rows.push_back(row->second);
        }
        return rows;
    }());
}

auto MemoryStore::put(std::string_view name, std::string content, PutCallback done) -> void
{
    done([&]() -> PutResult {
        const MutexLock lock(m_mutex);
        ++m_counts.writes;
        if (m_faults.isDown)
            return isDownError("put object");
        m_counts.bytesWritten += content.size();
        m_objects.emplace(name, std::move(content));
        return Stored {};
    }());
}

auto MemoryStore::fetch(std::string_view name, FetchCallback done) -> void
{
    done([&]() -> FetchResult {
        const MutexLock lock(m_mutex);
        ++m_counts.reads;
        if (m_faults.isDown)
            return isDownError("fetch object");
        const auto found = m_objects.find(name);
        if (found == m_objects.end())
            return std::optional<std::string> {};
        m_counts.bytesRead += found->second.size();
        return std::optional<std::string> { found->second };
    }());
}

auto MemoryStore::setFaults(const StoreFaults& faults) -> void
{
    const MutexLock lock(m_mutex);
    m_faults = faults;
}

auto MemoryStore::faults() const -> StoreFaults
{
    const MutexLock lock(m_mutex);
    return m_faults;
}

auto MemoryStore::counts() const -> StoreCounts
{
    const MutexLock lock(m_mutex);
    return m_counts;
}

} // namespace coriandergate::store
