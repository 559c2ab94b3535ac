#include "testing/SimulatedNetwork.h"

#include <algorithm>
#include <limits>

namespace coriandergate::testing {

namespace {

    constexpr std::chrono::milliseconds stepTime { 1 };

} // namespace

SimulatedNetwork::SimulatedNetwork(Scheduler& scheduler)
    : m_scheduler(scheduler)
{
}

auto SimulatedNetwork::addLink(double bytesPerSecond) -> Link
{
    m_links.push_back({ bytesPerSecond });
    return m_links.size() - 1;
}

auto SimulatedNetwork::start(std::vector<Link> path, std::size_t bytes, std::function<void()> done) -> Transfer
{
    for (const auto link : path)
        ++m_links[link].activeTransfers;
    const auto transfer = m_nextTransfer++;
    m_transfers.emplace(transfer, ActiveTransfer { std::move(path), static_cast<double>(bytes), std::move(done) });
    scheduleStep();
    return transfer;
}

auto SimulatedNetwork::cancel(Transfer transfer) -> void
{
    if (const auto found = m_transfers.find(transfer); found != m_transfers.end())
        erase(found);
}

auto SimulatedNetwork::carriedBytes(Link link) const -> std::uint64_t
{
    return static_cast<std::uint64_t>(m_links[link].carriedBytes);
}

auto SimulatedNetwork::scheduleStep() -> void
{
    if (m_isStepScheduled || m_transfers.empty())
        return;
    m_isStepScheduled = true;
    m_scheduler.runAfter(stepTime, [this] {
        m_isStepScheduled = false;
        step();
        scheduleStep();
    });
}

auto SimulatedNetwork::step() -> void
{
    const double seconds = std::chrono::duration<double>(stepTime).count();
    std::vector<double> shares;
    for (const auto& link : m_links)
        shares.push_back(
            link.bytesPerSecond * seconds / std::max<double>(1, static_cast<double>(link.activeTransfers)));
    std::vector<std::function<void()>> finished;
    for (auto it = m_transfers.begin(); it != m_transfers.end();) {
        auto& transfer = it->second;
        double bytes = std::numeric_limits<double>::max();
        for (const auto link : transfer.path)
            bytes = std::min(bytes, shares[link]);
        bytes = std::min(bytes, transfer.remainingBytes);
        for (const auto link : transfer.path)
            m_links[link].carriedBytes += bytes;
        transfer.remainingBytes -= bytes;
        if (transfer.remainingBytes > 0) {
            ++it;
            continue;
        }
        finished.push_back(std::move(transfer.done));
        it = erase(it);
    }
    for (const auto& done : finished)
        done();
}

auto SimulatedNetwork::erase(std::map<Transfer, ActiveTransfer>::iterator transfer)
    -> std::map<Transfer, ActiveTransfer>::iterator
{
    for (const auto link : transfer->second.path)
        --m_links[link].activeTransfers;
    return m_transfers.erase(transfer);
}

} // namespace coriandergate::testing
