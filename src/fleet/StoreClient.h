// The platform's store as the fleet uses it: rows of small tables that are read, followed and written under conditions.
//
// Implemented by the platform's adapter and by stand-ins in tests.
//
//   feed.watch({ .table = "hosts", .after = 17, .wait = 4s }, [](StoreClient::Result result) { ... });
#pragma once

#include "base/Clock.h"
#include "base/Error.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace coriandergate::fleet {

// StoreRow is one row as it was read. Versions come from one counter of the whole store.
struct StoreRow {
    std::string key;
    std::string value;
    std::uint64_t version = 0;
    bool isRemoved = false;

    friend auto operator==(const StoreRow&, const StoreRow&) -> bool = default;
};

// StoreResponse is a whole answer of the store.
struct StoreResponse {
    std::vector<StoreRow> rows;
    std::uint64_t newestVersion = 0; // of the whole store
    std::chrono::milliseconds storeTime { 0 }; // the store's steady clock
    SuspendAwareTime sentAt; // when the question was sent
    SuspendAwareTime receivedAt;
    bool isPassedOn = false; // another daemon told it: as new as its store time, not as its question
};

// StoreFailure says why there is no answer, and whether a write may still take effect.
struct StoreFailure {
    enum class Kind {
        NotApplied, // the store refused the call, or it never got there
        Unknown, // sent, and no answer: a write may have taken effect, or may yet do so
        HistoryTruncated, // the changes since `after` aren't kept any more
        ConditionFailed, // a row had another version than expected; `current` is what stands there
    };

    Kind kind = Kind::NotApplied;
    Error error;
    std::vector<StoreRow> current;
};

// StoreClient is used on one thread. Callbacks are called once, later.
class StoreClient {
public:
    using Result = std::variant<StoreResponse, StoreFailure>;
    using Callback = std::function<void(Result)>;

    struct WatchRequest {
        std::string table;
        std::uint64_t after = 0;
        std::chrono::milliseconds wait { 0 }; // how long the store may wait for a change
    };

    struct WriteRequest {
        std::string table;
        std::string key;
        std::uint64_t expectedVersion = 0; // 0: there is no such row yet
        std::optional<std::string> value; // nothing removes the row
    };

    StoreClient() = default;
    StoreClient(const StoreClient&) = delete;
    auto operator=(const StoreClient&) -> StoreClient& = delete;
    virtual ~StoreClient() = default;

    // read() gives all rows of `table`, with the version from which to follow on.
    virtual auto read(const std::string& table, Callback done) -> void = 0;

    // watch() gives the rows changed since `after` as soon as there are any, none when `wait` is over.
    virtual auto watch(const WatchRequest& watch, Callback done) -> void = 0;

    // write() sets or removes one row if it has the expected version.
    virtual auto write(const WriteRequest& write, Callback done) -> void = 0;
};

} // namespace coriandergate::fleet
