#include "sidecar/LogOutput.h"

#include <fcntl.h>
#include <unistd.h>

namespace coriandergate::sidecar {

LogOutput::LogOutput(boost::asio::io_context& io)
    : m_timer(io)
{
    const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

auto LogOutput::add(const std::string& line) -> void
{
    if (m_writer.add(line, monotonicNow()))
        scheduleFlush();
}

auto LogOutput::flush() -> void
{
    if (!m_writer.flush(STDOUT_FILENO, monotonicNow()))
        scheduleFlush();
}

auto LogOutput::scheduleFlush() -> void
{
    constexpr std::chrono::milliseconds flushDelay { 100 }; // batches lines that are logged together
    m_timer.expires_after(flushDelay);
    m_timer.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            flush();
    });
}

} // namespace coriandergate::sidecar
