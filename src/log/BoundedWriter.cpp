#include "log/BoundedWriter.h"

#include <algorithm>
#include <cerrno>
#include <unistd.h>

namespace coriandergate::log {

auto BoundedWriter::add(const std::string& line, MonotonicTime now) -> bool
{
    const std::chrono::duration<double> passed = now - m_filledAt;
    m_tokens = std::min(m_options.burst, m_tokens + passed.count() * m_options.linesPerSecond);
    m_filledAt = now;
    if (m_tokens < 1 || m_kept.size() + line.size() + 1 > m_options.maximumBytes) {
        ++m_dropped;
        return false;
    }
    m_tokens -= 1;
    const bool wasEmpty = m_kept.empty();
    m_kept += line;
    m_kept += '\n';
    return wasEmpty;
}

auto BoundedWriter::flush(int descriptor, MonotonicTime now) -> bool
{
    if (m_dropped > m_droppedTold && m_kept.size() < m_options.maximumBytes / 2) {
        const auto count = m_dropped - m_droppedTold;
        m_droppedTold = m_dropped;
        m_filledAt = now;
        m_kept += "level=warning text=\"log lines dropped\" count=" + std::to_string(count) + '\n';
    }
    while (!m_kept.empty()) {
        const auto written = ::write(descriptor, m_kept.data(), m_kept.size());
        if (written < 0 && errno == EINTR)
            continue;
        // A descriptor that takes nothing is tried again later; lines beyond the buffer are dropped and counted.
        if (written <= 0)
            return false;
        m_kept.erase(0, static_cast<std::size_t>(written));
    }
    return true;
}

} // namespace coriandergate::log
