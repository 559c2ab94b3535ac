// Writes log lines to a descriptor without ever blocking, and drops lines rather than grow or wait.
//
// Lines are kept and written together a moment later. What exceeds the rate or the buffer is dropped and counted; the
// count is written as a line of its own.
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
        double linesPerSecond = 400; // on average; a host of a fifth of a core answers fewer requests than that
        double burst = 800; // lines
        std::size_t maximumBytes = 256 * 1024; // kept until they are written
    };

    explicit BoundedWriter(const Options& options)
        : m_options(options)
        , m_tokens(options.burst)
    {
    }

    // add() keeps a line; true when nothing was kept before, so that a flush has to be scheduled.
    auto add(const std::string& line, MonotonicTime now) -> bool;

    // flush() writes what the descriptor takes, which must not block; the rest is kept. False when something is left.
    auto flush(int descriptor, MonotonicTime now) -> bool;

    [[nodiscard]] auto dropped() const -> std::uint64_t { return m_dropped; }

private:
    Options m_options;
    double m_tokens;
    MonotonicTime m_filledAt;
    std::string m_kept;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_droppedTold = 0;
};

} // namespace coriandergate::log
