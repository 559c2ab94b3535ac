#include "proxy/SnapshotHolder.h"

#include "config/Snapshot.h"

namespace coriandergate::proxy {

auto SnapshotHolder::publish(std::shared_ptr<const config::Snapshot> snapshot) -> bool
{
    const MutexLock lock(m_mutex);
    if (m_current && snapshot->configuration->version <= m_current->configuration->version)
        return false;
    m_current = std::move(snapshot);
    return true;
}

auto SnapshotHolder::current() const -> std::shared_ptr<const config::Snapshot>
{
    const MutexLock lock(m_mutex);
    return m_current;
}

} // namespace coriandergate::proxy
