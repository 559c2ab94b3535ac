// The platform's stores for tests: a small HTTP server over a MemoryStore, with faults by command.
//
//   POST /v1/...   see store/StoreProtocol.h
//   GET /_counts   {"reads", "writes", "bytesRead", "bytesWritten"} since the start, those refused included
//   POST /_faults  {"isDown", "delayMs", "loseCommitAnswers", "dropCommits", "loseToAnotherWriter"}; those left out are
//                  switched off
//
//   StandInStore store(workers, 0);
//   if (!store.listen(reason)) ...
#pragma once

#include "base/Mutex.h"
#include "store/MemoryStore.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace coriandergate {
struct Error;
}
namespace coriandergate::http {
struct Answer;
class Exchange;
class Server;
class WorkerPool;
}

namespace coriandergate::testing {

// StandInStore is made and destroyed on a thread with an event loop.
class StandInStore {
public:
    // `workers` must outlive the store; port 0 means any free one.
    StandInStore(http::WorkerPool& workers, std::uint16_t port);
    ~StandInStore();

    StandInStore(const StandInStore&) = delete;
    auto operator=(const StandInStore&) -> StandInStore& = delete;

    // listen() listens on 127.0.0.1; false with a reason when the port is taken.
    [[nodiscard]] auto listen(Error& reason) -> bool;

    // port() is the port in use once listen() has succeeded.
    [[nodiscard]] auto port() const -> std::uint16_t;

private:
    auto handle(std::shared_ptr<http::Exchange> exchange) -> void;
    auto setFaults(http::Exchange& exchange) -> void;
    auto commit(std::shared_ptr<http::Exchange> exchange) -> void;
    auto answer(std::shared_ptr<http::Exchange> exchange, http::Answer answer) -> void;

    http::WorkerPool& m_workers;
    store::MemoryStore m_store;
    std::unique_ptr<http::Server> m_server;
    Mutex m_mutex;
    std::vector<std::shared_ptr<http::Exchange>> m_unanswered GUARDED_BY(m_mutex); // their answers are lost
};

} // namespace coriandergate::testing
