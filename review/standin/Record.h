// The record of one play: what was sent, answered and run, with the time of each.
#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

class Record {
public:
    explicit Record(const std::string& path)
        : m_file(path)
    {
    }

    auto line(const std::string& text) -> void
    {
        const std::lock_guard lock(m_mutex);
        m_file << millisecondsSinceStart() << " ms  " << text << '\n' << std::flush;
    }

    [[nodiscard]] auto millisecondsSinceStart() const -> long
    {
        return static_cast<long>(
            std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - m_start).count());
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    std::chrono::steady_clock::time_point m_start = std::chrono::steady_clock::now();
};

} // namespace review
