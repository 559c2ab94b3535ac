// The content of the platform's store for simulations, and the size of its responses.
//
//   SimulatedStore store;
//   store.put("hosts", key, value);
//   const auto response = store.rowsAfter("hosts", 0, storeTime);
//   send(SimulatedStore::responseBytes(response));
#pragma once

#include "fleet/StoreClient.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace coriandergate::testing {

// SimulatedStore is a value; not thread-safe. Its versions have their era, as those that a client of the store returns.
class SimulatedStore {
public:
    // Status line and headers of a response.
    static constexpr std::size_t s_responseOverhead = 150;

    // put() sets a row under the next version.
    auto put(const std::string& table, const std::string& key, const std::string& value) -> void;

    // row() is a row that exists; rowsAfter() is a response with those of a table that changed after a version.
    [[nodiscard]] auto row(const std::string& table, const std::string& key) const -> const fleet::StoreRow&;
    [[nodiscard]] auto rowsAfter(const std::string& table, std::uint64_t after,
        std::chrono::milliseconds storeTime) const -> fleet::StoreResponse;

    // hasGivenOut() returns whether the store has the version. It compares numbers, since requests tell no era.
    [[nodiscard]] auto hasGivenOut(std::uint64_t version) const -> bool;

    // keepCopy() keeps the content; restore() puts it back. Versions are given out again from that of the copy, and the
    // era rises by one.
    auto keepCopy() -> void;
    auto restore() -> void;
    [[nodiscard]] auto era() const -> std::uint64_t { return m_era; }

    // tableBytes() is the size of a response with the first `rows` rows of a table, responseBytes() that of any one.
    [[nodiscard]] auto tableBytes(const std::string& table, std::size_t rows = SIZE_MAX) const -> std::size_t;
    [[nodiscard]] static auto responseBytes(const fleet::StoreResponse& response) -> std::size_t;

private:
    struct Content {
        std::map<std::string, std::map<std::string, fleet::StoreRow>> tables;
        std::uint64_t version = 0; // the newest, without its era
    };

    Content m_content;
    Content m_copy;
    std::uint64_t m_era = 0;
};

} // namespace coriandergate::testing
