// What a daemon remembers of once-only requests because their owners asked it to.
//
//   const auto isNoted = log.add(record, now);              // the answer to the owner
//   log.recordOutcome(attempt, NotRun {});                          // or Ran, when the owner tells
//   report.records = log.recordsOf(seat, seatCount, now);    // for a new holder of the seat
//
// Thread safe: records are spread over shards, each under its own lock.
#pragma once

#include "base/Mutex.h"
#include "once/AttemptRecord.h"

#include <array>
#include <cstddef>
#include <memory>
#include <vector>

namespace coriandergate::once {

// WitnessTable keeps records for the retention, counted from their start.
class WitnessTable {
public:
    struct Options {
        MonotonicDuration retention = std::chrono::hours(1);
        std::size_t maximumRecords = 200'000;
    };

    explicit WitnessTable(Options options);
    ~WitnessTable();
    WitnessTable(const WitnessTable&) = delete;
    auto operator=(const WitnessTable&) -> WitnessTable& = delete;

    // note() remembers a request that is about to start; false when the log is full. Nothing that is younger than the
    // retention is ever forgotten to make room.
    [[nodiscard]] auto add(const AttemptRecord& record, MonotonicTime now) -> bool;

    // settle() writes down an outcome; a NotRun forgets the record. A Ran is never taken back. Without the body of the
    // answer, which the ledger keeps.
    auto recordOutcome(const AttemptId& attempt, const AttemptOutcome& outcome) -> void;

    // recordsOf() are the records of one seat's keys. O(all records).
    [[nodiscard]] auto recordsOf(unsigned seat, unsigned seatCount, MonotonicTime now) const
        -> std::vector<AttemptRecord>;

    // all() are the records of all seats.
    [[nodiscard]] auto allRecords(MonotonicTime now) const -> std::vector<AttemptRecord>;

    // handOver() takes no more notes from now on and returns all records, for a planned stop: another daemon takes them
    // over by note().
    [[nodiscard]] auto handOver(MonotonicTime now) -> std::vector<AttemptRecord>;

    [[nodiscard]] auto size() const -> std::size_t;

private:
    static constexpr std::size_t s_shardCount = 16;
    struct Shard;

    [[nodiscard]] auto shardOf(const AttemptId& attempt) const -> Shard&;

    Options m_options;
    std::array<std::unique_ptr<Shard>, s_shardCount> m_shards;
};

} // namespace coriandergate::once
