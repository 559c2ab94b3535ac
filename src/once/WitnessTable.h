// The records of at-most-once requests that a daemon stores as a witness, at the request of their owners.
//
//   const auto isStored = table.add(record, now);               // the response to the owner
//   table.recordOutcome(attempt, NotRun {});                    // or Ran, as the owner reports it
//   report.records = table.recordsOf(seat, seatCount, now);     // for a new holder of the seat
//
// Thread safe: records are distributed over shards, each with its own lock.
#pragma once

#include "base/Mutex.h"
#include "once/AttemptRecord.h"

#include <array>
#include <cstddef>
#include <memory>
#include <vector>

namespace coriandergate::once {

// WitnessTable keeps each record for the retention, counted from its `openedAt`.
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

    // add() stores the record of a request that is about to start. False if the table is full or was handed over;
    // records younger than the retention are never evicted to make room.
    [[nodiscard]] auto add(const AttemptRecord& record, MonotonicTime now) -> bool;

    // recordOutcome() records an outcome, without the response, which the holder of the seat stores. NotRun removes the
    // record; Ran is final.
    auto recordOutcome(const AttemptId& attempt, const AttemptOutcome& outcome) -> void;

    // recordsOf() returns the records of one seat's keys. O(all records).
    [[nodiscard]] auto recordsOf(unsigned seat, unsigned seatCount, MonotonicTime now) const
        -> std::vector<AttemptRecord>;

    // allRecords() returns the records of all seats.
    [[nodiscard]] auto allRecords(MonotonicTime now) const -> std::vector<AttemptRecord>;

    // handOver() makes add() refuse records from now on and returns all records, for a planned stop: another daemon
    // takes them over by add().
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
