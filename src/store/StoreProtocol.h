// The messages between RemoteStore and the stand-in of the platform's store: CBOR bodies of POST requests.
//
//   POST /v1/commit, /v1/read, /v1/list, /v1/put, /v1/fetch
//
// Status 200 carries the result, 503 means that nothing was taken, and no answer, or any other, leaves a write unknown.
#pragma once

#include "base/Error.h"
#include "store/ObjectStore.h"
#include "store/TableService.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace coriandergate::store {

// ListQuery is what list() asks for.
struct ListQuery {
    std::string prefix;
    std::string after;
    std::size_t limit = 0;
};

// StoredObject is what put() carries.
struct StoredObject {
    std::string name;
    std::string content;
};

// encode() and the decode functions below are each other's inverses; decoding damaged bytes fails with a reason. Safe
// from any thread.
[[nodiscard]] auto encode(const Transaction& transaction) -> std::string;
[[nodiscard]] auto encode(const ListQuery& query) -> std::string;
[[nodiscard]] auto encode(const StoredObject& object) -> std::string;
[[nodiscard]] auto encode(const std::vector<Row>& rows) -> std::string;
[[nodiscard]] auto decodeTransaction(std::string_view bytes, Error& reason) -> std::optional<Transaction>;
[[nodiscard]] auto decodeListQuery(std::string_view bytes, Error& reason) -> std::optional<ListQuery>;
[[nodiscard]] auto decodeObject(std::string_view bytes, Error& reason) -> std::optional<StoredObject>;
[[nodiscard]] auto decodeRows(std::string_view bytes, Error& reason) -> std::optional<std::vector<Row>>;

} // namespace coriandergate::store
