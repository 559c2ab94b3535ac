#include "daemon/SeatFleetView.h"

#include "member/PeerSnapshot.h"
#include "member/PeerTable.h"
#include "seat/SeatDirectory.h"
#include "seat/SeatLeaseClient.h"
#include "seat/SeatLeaseGrantor.h"

#include <catch2/catch.hpp>
#include <set>

using namespace coriandergate;
using namespace coriandergate::daemon;
using namespace std::chrono_literals;

TEST_CASE("every run that is gone counts as lost: dead, replaced at its address, or forgotten by gossip")
{
    const DaemonIdentity self { "10.0.0.1:7101", 1 };
    seat::SeatLeaseGrantor ledger(self, {});
    const auto peers = std::make_shared<member::PeerTable>();
    SeatFleetView view(self, { "r", "a" }, std::make_shared<seat::SeatDirectory>(),
        std::make_shared<seat::SeatLeaseClient>(self, ledger, seat::SeatLeaseOptions {}), peers, 1h);
    const auto publish = [&](std::vector<member::Peer> known) {
        member::PeerSnapshot snapshot;
        snapshot.peers = std::move(known);
        peers->publish(std::make_shared<const member::PeerSnapshot>(snapshot));
        view.observe(snapshot, monotonicNow());
    };
    const auto peer = [](const std::string& address, std::uint64_t run, member::MemberState state) -> member::Peer {
        return { { address, run }, { "r", "b" }, state, {}, nullptr };
    };
    using member::MemberState;
    publish({ peer("dies", 1, MemberState::Alive), peer("leaves", 1, MemberState::Alive),
        peer("restarts", 1, MemberState::Alive), peer("stays", 1, MemberState::Suspect) });
    CHECK(view.members().size() == 5);
    CHECK(view.lost().empty());
    publish({ peer("dies", 1, MemberState::Dead), peer("leaves", 1, MemberState::Leaving),
        peer("restarts", 2, MemberState::Alive), peer("stays", 1, MemberState::Alive) });
    CHECK(view.members().size() == 4);
    publish({ peer("restarts", 2, MemberState::Alive), peer("stays", 1, MemberState::Alive) });
    CHECK(view.members().size() == 3);
    std::set<std::string> lost;
    for (const auto& daemon : view.lost()) {
        CHECK(daemon.identity.incarnation == 1);
        CHECK(daemon.dataCentre == "b");
        lost.insert(daemon.identity.address);
    }
    CHECK(lost == std::set<std::string> { "dies", "leaves", "restarts" });
    CHECK(view.seatCount() == 0);
    CHECK_FALSE(view.tenureOf(0, monotonicNow()));
}
