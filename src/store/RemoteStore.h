// The platform's stores over HTTP.
//
//   RemoteStore store(workers, 0, "10.0.0.3:7200", { .timeout = 2s });
//   store.read("configuration/head", [](ReadResult result) { ... }); // on worker 0
#pragma once

#include "store/ObjectStore.h"
#include "store/TableService.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace coriandergate::http {
class WorkerPool;
}

namespace coriandergate::store {

// RemoteStore calls back on the worker that it was given. Safe from any thread.
class RemoteStore : public TableService, public ObjectStore {
public:
    struct Options {
        std::chrono::milliseconds timeout { 2000 }; // of one row operation
        std::chrono::milliseconds objectTimeout { 10000 }; // of one object operation
    };

    // `workers` must outlive the store. `peer` is the store's "address:port".
    RemoteStore(http::WorkerPool& workers, std::size_t worker, std::string peer, const Options& options);

    // The destructor drops the calls under way without calling back. Not from the store's worker.
    ~RemoteStore() override;

    auto commit(Transaction transaction, CommitCallback done) -> void override;
    auto read(std::string_view key, ReadCallback done) -> void override;
    auto list(std::string_view prefix, std::string_view after, std::size_t limit, ListCallback done) -> void override;
    auto put(std::string_view name, std::string content, PutCallback done) -> void override;
    auto fetch(std::string_view name, FetchCallback done) -> void override;

    // reads() and writes() count the operations sent. Safe from any thread.
    [[nodiscard]] auto reads() const -> std::uint64_t;
    [[nodiscard]] auto writes() const -> std::uint64_t;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace coriandergate::store
