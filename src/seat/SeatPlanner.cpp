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
            for (const auto& statement : input.liveDaemons) {
                m_addresses[statement.identity.address] = statement.identity;
                if (!statement.isLeaving)
                    m_usable.emplace(statement.identity, statement.locality);
            }
            for (const auto& seat : input.current.seats) {
                ++m_holds[seat.holder];
                for (const auto& guard : seat.grantors)
                    ++m_guards[guard];
            }
            m_next.seats.resize(input.current.seats.empty() ? options.seatCount : input.current.seats.size());
            m_next.epoch = input.current.epoch + 1;
        }

        auto run() -> std::optional<SeatMap>
        {
            if (m_usable.empty())
                return std::nullopt;
            for (std::uint32_t number = 0; number < m_next.seats.size(); ++number)
                planSeat(number);
            return m_next.seats == m_input.current.seats ? std::nullopt : std::optional(m_next);
        }

    private:
        auto planSeat(std::uint32_t number) -> void
        {
            const auto former = m_next.seats[number];
            auto& seat = m_next.seats[number];
            const auto isStarted = [this, number, &former] {
                const auto found = m_input.leasedEpochs.find(number);
                return found != m_input.leasedEpochs.end() && found->second == former.epoch;
            }();
            if (isStarted)
                seat.formerEpochs.clear();
            for (auto& earlier : seat.formerEpochs)
                noteLost(earlier);
            seat.holder = chooseHolder(former, number);
            seat.grantors = chooseGuards(former, seat.holder, number);
            if (seat.holder == former.holder && seat.grantors == former.grantors)
                return;
            seat.epoch = m_next.epoch;
            if (former.epoch == 0)
                return;
            FormerEpoch closing { former.epoch, former.grantors, {} };
            noteLost(closing);
            seat.formerEpochs.push_back(std::move(closing));
        }

        auto chooseHolder(const SeatAssignment& former, std::uint32_t number) -> DaemonIdentity
        {
            if (m_usable.contains(former.holder))
                return former.holder;
            for (const auto& guard : former.grantors) {
                if (m_usable.contains(guard)) {
                    ++m_holds[guard];
                    return guard;
                }
            }
            const auto best
                = std::min_element(m_usable.begin(), m_usable.end(), [&](const auto& left, const auto& right) {
                      return std::tuple(m_holds[left.first], scoreOf(left.first, number))
                          < std::tuple(m_holds[right.first], scoreOf(right.first, number));
                  });
            ++m_holds[best->first];
            return best->first;
        }

        auto chooseGuards(const SeatAssignment& former, const DaemonIdentity& holder, std::uint32_t number)
            -> std::vector<DaemonIdentity>
        {
            std::vector<DaemonIdentity> guards;
            for (const auto& guard : former.grantors) {
                if (m_usable.contains(guard) && guard != holder)
                    guards.push_back(guard);
            }
            const auto wanted = std::min(m_options.grantorsPerSeat, m_usable.size() - 1);
            while (guards.size() < wanted) {
                guards.push_back(chooseGuard(guards, holder, number));
                ++m_guards[guards.back()];
            }
            // Of two guards, both would be needed for anything: the holder itself, or a lone daemon, makes the number
            // odd.
            if (guards.size() % 2 == 0)
                guards.push_back(holder);
            return guards;
        }

        auto chooseGuard(const std::vector<DaemonIdentity>& chosen, const DaemonIdentity& holder, std::uint32_t number)
            -> DaemonIdentity
        {
            std::set<Locality> taken { m_usable.at(holder) };
            for (const auto& guard : chosen)
                taken.insert(m_usable.at(guard));
            const auto& home = m_usable.at(holder);
            const auto cost = [&](const DaemonIdentity& daemon, const Locality& locality) {
                return std::tuple(locality.region != home.region, taken.contains(locality), m_guards[daemon],
                    scoreOf(daemon, number));
            };
            const DaemonIdentity* best = nullptr;
            for (const auto& [daemon, locality] : m_usable) {
                const auto isTaken
                    = daemon == holder || std::find(chosen.begin(), chosen.end(), daemon) != chosen.end();
                if (!isTaken && (!best || cost(daemon, locality) < cost(*best, m_usable.at(*best))))
                    best = &daemon;
            }
            return *best;
        }

        auto noteLost(FormerEpoch& former) const -> void
        {
            for (const auto& guard : former.grantors) {
                const auto isNoted
                    = std::find(former.terminatedGrantors.begin(), former.terminatedGrantors.end(), guard)
                    != former.terminatedGrantors.end();
                if (!isNoted && isLost(guard))
                    former.terminatedGrantors.push_back(guard);
            }
        }

        // A live daemon at the same address with another incarnation proves that the run before it has ended.
        [[nodiscard]] auto isLost(const DaemonIdentity& daemon) const -> bool
        {
            const auto found = m_addresses.find(daemon.address);
            return m_input.terminatedDaemons.contains(daemon)
                || (found != m_addresses.end() && found->second != daemon);
        }

        static auto scoreOf(const DaemonIdentity& daemon, std::uint32_t number) -> std::uint64_t
        {
            return hashOf(daemon.address, number);
        }

        const SeatPlannerInput& m_input;
        const SeatPlannerOptions& m_options;
        SeatMap m_next;
        std::map<DaemonIdentity, Locality> m_usable;
        std::map<std::string, DaemonIdentity> m_addresses;
        std::map<DaemonIdentity, std::size_t> m_holds;
        std::map<DaemonIdentity, std::size_t> m_guards;
    };

} // namespace

auto planSeatMap(const SeatPlannerInput& input, const SeatPlannerOptions& options) -> std::optional<SeatMap>
{
    return Plan(input, options).run();
}

} // namespace coriandergate::seat
