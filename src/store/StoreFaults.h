// The faults that a stand-in of the platform's store can be told to show, and the counts that it keeps.
//
//   memoryStore.setFaults({ .isDown = true });
//   memoryStore.setFaults({ .loseCommitAnswers = 1 }); // the next commit takes effect, its answer is lost
#pragma once

#include <chrono>
#include <cstdint>

namespace coriandergate::store {

// StoreFaults describes what goes wrong from now on. Counted faults wear off.
struct StoreFaults {
    bool isDown = false; // nothing is taken
    std::chrono::milliseconds delay { 0 }; // before each answer
    std::uint64_t loseCommitAnswers = 0; // commits to come that take effect and end as OutcomeUnknown
    std::uint64_t dropCommits = 0; // commits to come that take no effect and end as OutcomeUnknown
    std::uint64_t loseToAnotherWriter = 0; // commits to come before which another writer rewrites the first row
};

// StoreCounts counts the operations that arrived, those refused for a fault included.
struct StoreCounts {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t bytesRead = 0;
    std::uint64_t bytesWritten = 0;
};

} // namespace coriandergate::store
