#include "log/BoundedWriter.h"

#include <algorithm>
#include <cerrno>
#include <unistd.h>

namespace coriandergate::log {

auto BoundedWriter::add(const std::string& line, MonotonicTime now) -> bool
{
    const std::chrono::duration<double> elapsed = now - m_refilledAt;
    m_tokens = std::min(m_options.burstLines, m_tokens + elapsed.count() * m_options.linesPerSecond);
    m_refilledAt = now;
    if (m_tokens < 1 || m_buffer.size() + line.size() + 1 > m_options.maximumBufferBytes) {
        ++m_droppedLines;
        return false;
    }
    m_tokens -= 1;
    const bool wasEmpty = m_buffer.empty();
    m_buffer += line;
    m_buffer += '\n';
    return wasEmpty;
}

auto BoundedWriter::flush(int descriptor, MonotonicTime now) -> bool
{
    if (m_droppedLines > m_reportedDroppedLines && m_buffer.size() < m_options.maximumBufferBytes / 2) {
        const auto count = m_droppedLines - m_reportedDroppedLines;
        m_reportedDroppedLines = m_droppedLines;
        m_refilledAt = now;
        m_buffer += "level=warning text=\"log lines dropped\" count=" + std::to_string(count) + '\n';
    }
    while (!m_buffer.empty()) {
        const auto written = ::write(descriptor, m_buffer.data(), m_buffer.size());
        if (written < 0 && errno == EINTR)
            continue;
        // The caller retries later; lines that no longer fit the buffer are dropped and counted.
        if (written <= 0)
            return false;
        m_buffer.erase(0, static_cast<std::size_t>(written));
    }
    return true;
}

} // namespace coriandergate::log
