// Holds the configuration in force, which readers take as a whole.
//
//   holder.publish(snapshot);
//   const auto snapshot = holder.current(); // null until the first is known
#pragma once

#include "base/Mutex.h"

#include <memory>

namespace coriandergate::config {
struct Snapshot;
}

namespace coriandergate::proxy {

// SnapshotHolder is safe from any thread. It never goes back: an older version than the current one is not taken.
class SnapshotHolder {
public:
    // publish() makes `snapshot` the current one. False when its version isn't newer.
    auto publish(std::shared_ptr<const config::Snapshot> snapshot) -> bool;

    [[nodiscard]] auto current() const -> std::shared_ptr<const config::Snapshot>;

private:
    mutable Mutex m_mutex;
    std::shared_ptr<const config::Snapshot> m_current GUARDED_BY(m_mutex);
};

} // namespace coriandergate::proxy
