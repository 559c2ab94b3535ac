// Writes the log to standard output a moment after its lines came, without ever waiting for it.
//
//   LogOutput output(io);
//   log::startLogging(minimum, [&output](const std::string& line) { output.add(line); });
#pragma once

#include "log/BoundedWriter.h"

#include <boost/asio/steady_timer.hpp>
#include <string>

namespace coriandergate::sidecar {

// LogOutput is used on the thread of its io_context.
class LogOutput {
public:
    explicit LogOutput(boost::asio::io_context& io);

    auto add(const std::string& line) -> void;

    // flush() writes what standard output takes now.
    auto flush() -> void;

private:
    auto scheduleFlush() -> void;

    log::BoundedWriter m_writer { log::BoundedWriter::Options {} };
    boost::asio::steady_timer m_timer;
};

} // namespace coriandergate::sidecar
