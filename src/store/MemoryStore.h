// Both of the platform's stores in the memory of this process: the embedded default for a first try on one machine, and
// the heart of the stand-in process. What it holds is gone with the process.
//
//   MemoryStore store;
//   store.commit({ "op-1", { { "greeting", 0, "hello" } } }, [](CommitResult) {});
#pragma once

#include "base/Mutex.h"
#include "store/ObjectStore.h"
#include "store/StoreFaults.h"
#include "store/TableService.h"

#include <map>
#include <string>
#include <string_view>

namespace coriandergate::store {

// MemoryStore calls back before its functions return, on the caller's thread. The fault `delay` is left to whoever
// carries the answer, since this class never waits. Safe from any thread.
class MemoryStore : public TableService, public ObjectStore {
public:
    auto commit(Transaction transaction, CommitCallback done) -> void override;
    auto read(std::string_view key, ReadCallback done) -> void override;
    auto list(std::string_view prefix, std::string_view after, std::size_t limit, ListCallback done) -> void override;
    auto put(std::string_view name, std::string content, PutCallback done) -> void override;
    auto fetch(std::string_view name, FetchCallback done) -> void override;

    // setFaults() replaces the faults shown from now on. Safe from any thread.
    auto setFaults(const StoreFaults& faults) -> void;

    // faults() is what remains of the faults that were set. Safe from any thread.
    [[nodiscard]] auto faults() const -> StoreFaults;

    // counts() is the number of operations since the start. Safe from any thread.
    [[nodiscard]] auto counts() const -> StoreCounts;

private:
    auto commitNow(const Transaction& transaction) -> CommitResult;
    REQUIRES(m_mutex) auto applyLocked(const Transaction& transaction) -> CommitResult;

    mutable Mutex m_mutex;
    std::map<std::string, Row, std::less<>> m_rows GUARDED_BY(m_mutex);
    std::map<std::string, std::string, std::less<>> m_objects GUARDED_BY(m_mutex);
    StoreFaults m_faults GUARDED_BY(m_mutex);
    StoreCounts m_counts GUARDED_BY(m_mutex);
};

} // namespace coriandergate::store
