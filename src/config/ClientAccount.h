// A client account: its keys and its limits.
#pragma once

#include <optional>
#include <string>
#include <vector>

namespace coriandergate::config {

// ClientAccount is one entry of a Configuration. Keys are kept as digests only (see KeyDigest.h).
struct ClientAccount {
    std::string name;
    std::vector<std::string> keyDigests; // 64 lower-case hexadecimal digits each
    double ratePerSecond = 1; // requests a second, over all hosts together
    double burst = 1; // requests
    bool isUnlimited = false; // then neither rate nor burst holds
    std::optional<int> priority; // goes before the route's
    std::vector<std::string> homeRegions; // the only regions in which its requests may be executed; empty: all

    friend auto operator==(const ClientAccount&, const ClientAccount&) -> bool = default;
};

} // namespace coriandergate::config
