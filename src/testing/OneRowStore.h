// A store for tests that keeps one row under its version, refuses everything, or answers nothing.
//
//   OneRowStore store("10.1.0.1");
//   fleet::HostRowWriter announcer(io, store, "hosts", "10.1.0.1");
//   CHECK(store.writes == 1);
#pragma once

#include "fleet/StoreClient.h"
#include "fleet/StoreVersion.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace coriandergate::testing {

// OneRowStore answers within the call; used on one thread.
class OneRowStore : public fleet::StoreClient {
public:
    explicit OneRowStore(std::string key)
        : m_key(std::move(key))
    {
    }

    auto read(const std::string&, Callback) -> void override { }
    auto readRange(const fleet::StoreClient::RangeRequest&, Callback) -> void override { }
    auto watch(const WatchRequest&, Callback) -> void override { }
    auto write(const WriteRequest& write, Callback done) -> void override
    {
        ++writes;
        if (isSilent) {
            unanswered = std::move(done);
            return;
        }
        if (isAway) {
            done(fleet::StoreFailure { fleet::StoreFailure::Kind::NotApplied, { "write", "store", "status 503" }, {} });
            return;
        }
        if (write.key != m_key) {
            otherWrites.push_back(write);
            done(fleet::StoreResponse { .newestVersion = ++newest });
            return;
        }
        if (write.expectedVersion != row.version) {
            fleet::StoreFailure failure { fleet::StoreFailure::Kind::ConditionFailed,
                { "write", "store", "status 412" }, {}, fleet::eraOf(newest) };
            if (row.version > 0)
                failure.current.push_back(row);
            done(std::move(failure));
            return;
        }
        ++newest;
        row = { m_key, write.value.value_or(""), write.value ? newest : 0, !write.value };
        done(fleet::StoreResponse { .newestVersion = newest });
    }

    std::vector<WriteRequest> otherWrites; // to other rows than the one
    fleet::StoreRow row; // of version 0 while there is none
    Callback unanswered; // the last write's, while the store is silent
    std::uint64_t newest = 40;
    int writes = 0;
    bool isAway = false;
    bool isSilent = false;

private:
    std::string m_key;
};

} // namespace coriandergate::testing
