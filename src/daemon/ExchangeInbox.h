// Brings the answers of calls from the workers to the main thread, and outlives both sides.
#pragma once

#include "base/Mutex.h"

#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

namespace coriandergate::daemon {

// ExchangeInbox is safe from any thread.
class ExchangeInbox {
public:
    // put() adds an answer; takeAll() is those added since the last call.
    auto put(nlohmann::json answer) -> void
    {
        const MutexLock lock(m_mutex);
        m_answers.push_back(std::move(answer));
    }

    [[nodiscard]] auto takeAll() -> std::vector<nlohmann::json>
    {
        const MutexLock lock(m_mutex);
        return std::exchange(m_answers, {});
    }

private:
    Mutex m_mutex;
    std::vector<nlohmann::json> m_answers GUARDED_BY(m_mutex);
};

} // namespace coriandergate::daemon
