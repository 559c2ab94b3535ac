// Reads the lines of a log, plain or compressed by gzip, in bounded memory.
//
//   Error reason;
//   LogFile file(path); // or LogFile file(STDIN_FILENO)
//   const bool isRead = file.readLines([](std::string_view line) { ... }, [] { ... }, reason);
#pragma once

#include "base/Error.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace coriandergate {

class LogFile {
public:
    static constexpr std::size_t s_maximumLineBytes = 64 * 1024;

    using LineHandler = std::function<void(std::string_view line)>;
    using OverlongHandler = std::function<void()>;

    explicit LogFile(std::string path);
    explicit LogFile(int descriptor);
    ~LogFile();

    LogFile(const LogFile&) = delete;
    auto operator=(const LogFile&) -> LogFile& = delete;

    // readLines() passes each line without its line break to `onLine`; one of more than s_maximumLineBytes is skipped
    // and `onOverlong` called instead. It returns false when the file can't be opened or read to its end; lines before
    // that were passed on.
    auto readLines(const LineHandler& onLine, const OverlongHandler& onOverlong, Error& reason) -> bool;

private:
    struct Stream;

    std::string m_name;
    std::unique_ptr<Stream> m_stream;
};

} // namespace coriandergate
