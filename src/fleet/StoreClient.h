// Interface of the platform's store: small tables whose rows are read, watched and conditionally written.
//
// Implemented by the platform's client, by RelayedStoreClient on top of another client, and by fakes in tests.
//
//   store.watch({ .table = "hosts", .after = 17, .wait = 4s }, [](StoreClient::Result result) { ... });
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

// StoreRow is one row as it was read. All tables of the store share one version counter; see StoreVersion.h.
struct StoreRow {
    std::string key;
    std::string value;
    std::uint64_t version = 0;
    bool isRemoved = false;

    friend auto operator==(const StoreRow&, const StoreRow&) -> bool = default;
};

// StoreResponse is a complete response of the store.
struct StoreResponse {
    std::vector<StoreRow> rows;
    std::uint64_t newestVersion = 0; // of the whole store, over all tables
    std::chrono::milliseconds storeTime { 0 }; // the store's steady clock at the time of the response
    SuspendAwareTime sentAt; // when the request was sent
    SuspendAwareTime receivedAt;
    bool isPartial = false; // rows are missing; a watch from newestVersion returns them
    bool isSnapshot = false; // all rows, in response to a watch from a version of an earlier era of the store
    bool isRelayed = false; // received from another daemon: as recent as storeTime, not as sentAt
};

// StoreFailure tells why there is no response, and whether a write may still take effect.
struct StoreFailure {
    enum class Kind {
        NotApplied, // the store rejected the request or never received it
        Unknown, // sent without a response: a write may have taken effect or may still do so
        HistoryTruncated, // the store no longer keeps the changes since `after`, or was restored from an older copy
        ConditionFailed, // the row's version differs from the expected one; `current` holds the stored row, if any
    };

    Kind kind = Kind::NotApplied;
    Error error;
    std::vector<StoreRow> current;
    std::uint64_t era = 0; // of the store as told in its response, if there is one
};

// StoreClient is used on one thread. Each callback is called once, asynchronously.
class StoreClient {
public:
    using Result = std::variant<StoreResponse, StoreFailure>;
    using Callback = std::function<void(Result)>;

    struct RangeRequest {
        std::string table;
        std::string firstKey;
        std::string endKey; // not included
        std::size_t limit = 0; // number of rows
    };

    struct WatchRequest {
        std::string table;
        std::uint64_t after = 0; // only rows with a later version are returned
        std::chrono::milliseconds wait { 0 }; // how long the store may hold the request until a change
    };

    struct WriteRequest {
        std::string table;
        std::string key;
        std::uint64_t expectedVersion = 0; // 0 if the row must not exist yet
        std::optional<std::string> value; // without a value the row is removed
    };

    StoreClient() = default;
    StoreClient(const StoreClient&) = delete;
    auto operator=(const StoreClient&) -> StoreClient& = delete;
    virtual ~StoreClient() = default;

    // read() returns all rows of `table`, with the version to watch from.
    virtual auto read(const std::string& table, Callback done) -> void = 0;

    // readRange() returns the first rows of a range of keys, in the order of their keys.
    virtual auto readRange(const RangeRequest& range, Callback done) -> void = 0;

    // watch() is a long poll: it returns the rows changed since `after` as soon as there are any, and none after
    // `wait`.
    virtual auto watch(const WatchRequest& watch, Callback done) -> void = 0;

    // write() sets or removes one row if it has the expected version.
    virtual auto write(const WriteRequest& write, Callback done) -> void = 0;
};

} // namespace coriandergate::fleet
