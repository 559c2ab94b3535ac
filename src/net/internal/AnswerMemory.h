// Bounds the memory of all answers that one client is receiving.
//
// Load pattern: a few peers send bytes without end. Each of their answers stays below the bound of one answer for a
// while, and together they exceed the memory of the process. The answers above the average size are then given up;
// there is always one, and small answers of other peers go on.
//
//   AnswerMemory memory(64 * 1024 * 1024);
//   AnswerMemory::Share share(memory);
//   if (!share.add(bytes)) giveUp();
//   share.clear(); // the answer is complete or given up
#pragma once

#include <cstddef>

namespace coriandergate::net::internal {

// AnswerMemory is used on one thread and outlives its shares.
class AnswerMemory {
public:
    explicit AnswerMemory(std::size_t maximumBytes)
        : m_maximumBytes(maximumBytes)
    {
    }

    // Share is what one answer takes.
    class Share {
    public:
        explicit Share(AnswerMemory& memory)
            : m_memory(memory)
        {
        }
        ~Share() { clear(); }
        Share(const Share&) = delete;
        auto operator=(const Share&) -> Share& = delete;

        // add() counts received bytes; false if the answer must be given up.
        [[nodiscard]] auto add(std::size_t bytes) -> bool
        {
            if (m_bytes == 0 && bytes > 0)
                ++m_memory.m_answers;
            m_bytes += bytes;
            m_memory.m_bytes += bytes;
            return m_memory.m_bytes <= m_memory.m_maximumBytes || m_bytes * m_memory.m_answers < m_memory.m_bytes;
        }

        auto clear() -> void
        {
            if (m_bytes > 0)
                --m_memory.m_answers;
            m_memory.m_bytes -= m_bytes;
            m_bytes = 0;
        }

    private:
        AnswerMemory& m_memory;
        std::size_t m_bytes = 0;
    };

private:
    std::size_t m_maximumBytes;
    std::size_t m_bytes = 0; // of all answers
    std::size_t m_answers = 0; // with a byte or more
};

} // namespace coriandergate::net::internal
