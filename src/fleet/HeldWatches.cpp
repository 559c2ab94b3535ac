#include "fleet/HeldWatches.h"

#include "http/Exchange.h"

namespace coriandergate::fleet {

auto HeldWatches::add(Watch watch) -> void
{
    const auto* exchange = watch.exchange.get();
    const auto timer = m_scheduler.runAfter(watch.request.wait, [this, alive = m_isAlive, exchange] {
        if (!*alive)
            return;
        for (const auto& expired : takeOne(exchange))
            m_onTimeout(expired);
    });
    watch.exchange->onAbandoned([this, alive = m_isAlive, exchange] {
        if (*alive)
            static_cast<void>(takeOne(exchange));
    });
    m_held.push_back({ std::move(watch), timer });
}

auto HeldWatches::take(const std::function<bool(const Watch&)>& isSelected) -> std::vector<Watch>
{
    std::vector<Watch> taken;
    for (auto it = m_held.begin(); it != m_held.end();) {
        if (!isSelected(it->watch)) {
            ++it;
            continue;
        }
        m_scheduler.cancel(it->timer);
        taken.push_back(std::move(it->watch));
        it = m_held.erase(it);
    }
    return taken;
}

auto HeldWatches::takeOne(const http::Exchange* exchange) -> std::vector<Watch>
{
    return take([exchange](const Watch& watch) { return watch.exchange.get() == exchange; });
}

} // namespace coriandergate::fleet
