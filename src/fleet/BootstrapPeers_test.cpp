#include "fleet/BootstrapPeers.h"

#include <catch2/catch.hpp>
#include <set>

namespace coriandergate::fleet {

namespace {

    auto makePeers(std::size_t count) -> std::vector<BootstrapPeers::Peer>
    {
        std::vector<BootstrapPeers::Peer> peers;
        for (std::size_t i = 0; i < count; ++i)
            peers.push_back({ "key-" + std::to_string(100 + i), "address-" + std::to_string(i) });
        return peers;
    }

    auto choices(const BootstrapPeers& peers) -> std::set<std::string>
    {
        std::set<std::string> addresses;
        for (std::uint64_t random = 0; random < 50; ++random) {
            if (const auto address = peers.choose(random))
                addresses.insert(*address);
        }
        return addresses;
    }

} // namespace

TEST_CASE("a starting host reads from the store or copies from the tier before it, by its place in the region")
{
    const auto first = makePeers(5);
    CHECK(choices({ "key-100", first, {} }).empty());
    CHECK(choices({ "key-101", first, {} }).empty());
    CHECK(choices({ "key-102", first, {} }) == std::set<std::string> { "address-0", "address-1" });
    CHECK(choices({ "key-104", first, {} }) == std::set<std::string> { "address-0", "address-1" });
    CHECK(choices({ "key-200", first, {} }) == std::set<std::string> { "address-2", "address-3", "address-4" });
}

TEST_CASE("in a region of few hosts the others copy from those that read from the store")
{
    CHECK(choices({ "key-200", makePeers(2), {} }) == std::set<std::string> { "address-0", "address-1" });
    CHECK(choices({ "key-200", makePeers(1), {} }) == std::set<std::string> { "address-0" });
    CHECK(choices({ "key-100", makePeers(1), {} }).empty());
    CHECK(choices({ "key-200", {}, {} }).empty());
}

TEST_CASE("a peer that failed is not chosen again, and after some failures the store is read")
{
    BootstrapPeers peers("key-200", makePeers(16), { .attempts = 2 });
    const auto failed = peers.choose(0).value();
    peers.recordFailure(failed);
    CHECK(choices(peers).size() == 13);
    CHECK_FALSE(choices(peers).contains(failed));
    peers.recordFailure(peers.choose(1).value());
    CHECK(choices(peers).empty());
}

} // namespace coriandergate::fleet
