// A live peer, as membership knows it.
#pragma once

#include <string>

namespace coriandergate::config {

// KeeperPeer is a value; the address is the peer address that actions name.
struct KeeperPeer {
    std::string address;
    bool isSameDataCentre = false;

    friend auto operator==(const KeeperPeer&, const KeeperPeer&) -> bool = default;
};

} // namespace coriandergate::config
