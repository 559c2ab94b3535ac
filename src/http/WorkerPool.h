// A fixed set of threads, each with a Qt event loop. A connection and everything that belongs to it lives on one of
// them.
//
//   WorkerPool workers({ .threads = 2 });
//   workers.post(0, [] { ... runs on worker 0 ... });
#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

class QObject;
class QThread;

namespace coriandergate::http {

class WorkerPool {
public:
    struct Options {
        std::size_t threads = 2;
    };

    explicit WorkerPool(const Options& options);

    // The destructor stops the event loops and joins the threads.
    ~WorkerPool();

    WorkerPool(const WorkerPool&) = delete;
    auto operator=(const WorkerPool&) -> WorkerPool& = delete;

    [[nodiscard]] auto size() const -> std::size_t { return m_workers.size(); }

    // post() runs `task` on the event loop of worker `index` (less than size()). Safe from any thread.
    auto post(std::size_t index, std::function<void()> task) -> void;

    // postAfter() runs `task` on worker `index` once `delay` has passed. Safe from any thread.
    auto postAfter(std::size_t index, std::chrono::milliseconds delay, std::function<void()> task) -> void;

    // runAndWait() runs `task` on worker `index` and returns when it has run. Not from a worker.
    auto runAndWait(std::size_t index, std::function<void()> task) -> void;

    // current() is the index of the calling worker thread, and size() on any other thread.
    [[nodiscard]] auto current() const -> std::size_t;

private:
    struct Worker {
        std::unique_ptr<QThread> thread;
        std::unique_ptr<QObject> context;
    };
    std::vector<Worker> m_workers;
};

} // namespace coriandergate::http
