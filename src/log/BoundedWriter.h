// Writes log lines to a file descriptor without blocking, in bounded memory.
//
// Lines are buffered and written in batches. Lines over the rate limit or the buffer size are dropped and counted; the
// count is logged as a separate line.
//
//   BoundedWriter writer({ .linesPerSecond = 400 });
//   if (writer.add(std::move(line), now)) scheduleFlush();
//   writer.flush(STDOUT_FILENO, now);
#pragma once

#include "base/Clock.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace coriandergate::log {

// BoundedWriter is used by one thread.
class BoundedWriter {
public:
    struct Options {
        double linesPerSecond = 400; // on average; above the request rate of a host with a fifth of a core
        double burstLines = 800;
        std::size_t maximumBufferBytes = 256 * 1024;
    };

    explicit BoundedWriter(const Options& options)
        : m_options(options)
        , m_tokens(options.burstLines)
    {
    }

    // add() buffers a line. It returns true if the buffer was empty before, so that the caller must schedule a flush.
    auto add(const std::string& line, MonotonicTime now) -> bool;

    // flush() writes as much as the non-blocking `descriptor` accepts. It returns false if data is left in the buffer.
    auto flush(int descriptor, MonotonicTime now) -> bool;

    [[nodiscard]] auto droppedLines() const -> std::uint64_t { return m_droppedLines; }

private:
    Options m_options;
    double m_tokens;
    MonotonicTime m_refilledAt;
    std::string m_buffer;
    std::uint64_t m_droppedLines = 0;
    std::uint64_t m_reportedDroppedLines = 0;
};

} // namespace coriandergate::log
