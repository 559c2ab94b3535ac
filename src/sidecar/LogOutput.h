// Buffers log lines and writes them to standard output in batches, without ever blocking.
//
//   LogOutput output(io);
//   log::startLogging(minimumSeverity, [&output](const std::string& line) { output.add(line); });
#pragma once

#include "log/BoundedWriter.h"

#include <boost/asio/steady_timer.hpp>
#include <string>

namespace coriandergate::sidecar {

// LogOutput is used on the thread of its io_context.
class LogOutput {
public:
    explicit LogOutput(boost::asio::io_context& io);

    // add() buffers a line and schedules a flush.
    auto add(const std::string& line) -> void;

    // flush() writes as much as standard output accepts without blocking.
    auto flush() -> void;

private:
    auto scheduleFlush() -> void;

    log::BoundedWriter m_writer { log::BoundedWriter::Options {} };
    boost::asio::steady_timer m_timer;
};

} // namespace coriandergate::sidecar
