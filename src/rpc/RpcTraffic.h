// Counts the bytes that calls between daemons take, for the metrics and for the budget of control traffic.
#pragma once

#include <atomic>
#include <cstdint>

namespace coriandergate::rpc {

// RpcTraffic is safe from any thread. Bytes are those of the bodies and of the fixed part of the HTTP headers.
struct RpcTraffic {
    std::atomic<std::uint64_t> calls = 0;
    std::atomic<std::uint64_t> failures = 0;
    std::atomic<std::uint64_t> bytesOut = 0;
    std::atomic<std::uint64_t> bytesIn = 0;
};

} // namespace coriandergate::rpc
