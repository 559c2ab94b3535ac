#include "seat/SeatPlanner.h"

#include "base/Hash.h"

#include <algorithm>
#include <tuple>

namespace coriandergate::seat {

namespace {

    class Plan {
    public:
        Plan(const SeatPlannerInput& input, const SeatPlannerOptions& options)
            : m_input(input)
            , m_options(options)
            , m_next(input.current)
        {
            for (const auto& daemon : input.liveDaemons) {
                m_liveByAddress[daemon.identity.address] = daemon.identity;
                if (!daemon.isLeaving)
                    m_available.emplace(daemon.identity, daemon.locality);
            }
            for (const auto& seat : input.current.seats) {
                ++m_heldSeatCounts[seat.holder];
                for (const auto& grantor : seat.grantors)
                    ++m_grantedSeatCounts[grantor];
            }
            m_next.seats.resize(input.current.seats.empty() ? options.seatCount : input.current.seats.size());
            m_next.epoch = input.current.epoch + 1;
        }

        auto run() -> std::optional<SeatMap>
        {
            if (m_available.empty())
                return std::nullopt;
            for (std::uint32_t seatIndex = 0; seatIndex < m_next.seats.size(); ++seatIndex)
                planSeat(seatIndex);
            return m_next.seats == m_input.current.seats ? std::nullopt : std::optional(m_next);
        }

    private:
        auto planSeat(std::uint32_t seatIndex) -> void
        {
            const auto previous = m_next.seats[seatIndex];
            auto& seat = m_next.seats[seatIndex];
            const auto isLeased = [this, seatIndex, &previous] {
                const auto found = m_input.leasedEpochs.find(seatIndex);
                return found != m_input.leasedEpochs.end() && found->second == previous.epoch;
            }();
            if (isLeased)
                seat.formerEpochs.clear();
            for (auto& formerEpoch : seat.formerEpochs)
                addTerminatedGrantors(formerEpoch);
            seat.holder = chooseHolder(previous, seatIndex);
            seat.grantors = chooseGrantors(previous, seat.holder, seatIndex);
            if (seat.holder == previous.holder && seat.grantors == previous.grantors)
                return;
            seat.epoch = m_next.epoch;
            if (previous.epoch == 0)
                return;
            FormerEpoch formerEpoch { previous.epoch, previous.grantors, {} };
            addTerminatedGrantors(formerEpoch);
            seat.formerEpochs.push_back(std::move(formerEpoch));
        }

        auto chooseHolder(const SeatAssignment& previous, std::uint32_t seatIndex) -> DaemonIdentity
        {
            if (m_available.contains(previous.holder))
                return previous.holder;
            for (const auto& grantor : previous.grantors) {
                if (m_available.contains(grantor)) {
                    ++m_heldSeatCounts[grantor];
                    return grantor;
                }
            }
            const auto best
                = std::min_element(m_available.begin(), m_available.end(), [&](const auto& left, const auto& right) {
                      return std::tuple(m_heldSeatCounts[left.first], rendezvousHash(left.first, seatIndex))
                          < std::tuple(m_heldSeatCounts[right.first], rendezvousHash(right.first, seatIndex));
                  });
            ++m_heldSeatCounts[best->first];
            return best->first;
        }

        auto chooseGrantors(const SeatAssignment& previous, const DaemonIdentity& holder, std::uint32_t seatIndex)
            -> std::vector<DaemonIdentity>
        {
            std::vector<DaemonIdentity> grantors;
            for (const auto& grantor : previous.grantors) {
                if (m_available.contains(grantor) && grantor != holder)
                    grantors.push_back(grantor);
            }
            const auto wanted = std::min(m_options.grantorsPerSeat, m_available.size() - 1);
            while (grantors.size() < wanted) {
                grantors.push_back(chooseGrantor(grantors, holder, seatIndex));
                ++m_grantedSeatCounts[grantors.back()];
            }
            // An even number of grantors tolerates no more failures than one grantor less; of two, both would be needed
            // for a majority. So the holder then becomes a grantor, too. A lone daemon is its own grantor.
            if (grantors.size() % 2 == 0)
                grantors.push_back(holder);
            return grantors;
        }

        auto chooseGrantor(const std::vector<DaemonIdentity>& chosen, const DaemonIdentity& holder,
            std::uint32_t seatIndex) -> DaemonIdentity
        {
            std::set<Locality> usedLocalities { m_available.at(holder) };
            for (const auto& grantor : chosen)
                usedLocalities.insert(m_available.at(grantor));
            const auto& holderLocality = m_available.at(holder);
            const auto cost = [&](const DaemonIdentity& daemon, const Locality& locality) {
                return std::tuple(locality.region != holderLocality.region, usedLocalities.contains(locality),
                    m_grantedSeatCounts[daemon], rendezvousHash(daemon, seatIndex));
            };
            const DaemonIdentity* best = nullptr;
            for (const auto& [daemon, locality] : m_available) {
                const auto isTaken
                    = daemon == holder || std::find(chosen.begin(), chosen.end(), daemon) != chosen.end();
                if (!isTaken && (!best || cost(daemon, locality) < cost(*best, m_available.at(*best))))
                    best = &daemon;
            }
            return *best;
        }

        auto addTerminatedGrantors(FormerEpoch& formerEpoch) const -> void
        {
            for (const auto& grantor : formerEpoch.grantors) {
                const auto isAdded
                    = std::find(formerEpoch.terminatedGrantors.begin(), formerEpoch.terminatedGrantors.end(), grantor)
                    != formerEpoch.terminatedGrantors.end();
                if (!isAdded && isTerminated(grantor))
                    formerEpoch.terminatedGrantors.push_back(grantor);
            }
        }

        // A live daemon with the same address and another incarnation proves that the earlier process has ended.
        [[nodiscard]] auto isTerminated(const DaemonIdentity& daemon) const -> bool
        {
            const auto found = m_liveByAddress.find(daemon.address);
            return m_input.terminatedDaemons.contains(daemon)
                || (found != m_liveByAddress.end() && found->second != daemon);
        }

        static auto rendezvousHash(const DaemonIdentity& daemon, std::uint32_t seatIndex) -> std::uint64_t
        {
            return hashOf(daemon.address, seatIndex);
        }

        const SeatPlannerInput& m_input;
        const SeatPlannerOptions& m_options;
        SeatMap m_next;
        std::map<DaemonIdentity, Locality> m_available; // live and not leaving
        std::map<std::string, DaemonIdentity> m_liveByAddress;
        std::map<DaemonIdentity, std::size_t> m_heldSeatCounts;
        std::map<DaemonIdentity, std::size_t> m_grantedSeatCounts;
    };

} // namespace

auto planSeatMap(const SeatPlannerInput& input, const SeatPlannerOptions& options) -> std::optional<SeatMap>
{
    return Plan(input, options).run();
}

} // namespace coriandergate::seat
