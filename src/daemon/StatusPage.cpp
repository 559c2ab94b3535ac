#include "daemon/StatusPage.h"

#include "config/Snapshot.h"
#include "daemon/DrainState.h"
#include "http/Request.h"
#include "member/PeerSnapshot.h"
#include "member/PeerTable.h"
#include "member/TargetRegistry.h"
#include "proxy/SnapshotHolder.h"
#include "status/RouteStatus.h"

#include <algorithm>

namespace coriandergate::daemon {

StatusPage::StatusPage(
    Sources sources, std::string path, const status::LineFormat& format, const status::Advice::Options& options)
    : m_sources(std::move(sources))
    , m_path(std::move(path))
    , m_format(format)
    , m_options(options)
{
}

auto StatusPage::takes(const http::Request& request) const -> bool
{
    return request.target == m_path && (request.method == "GET" || request.method == "HEAD");
}

auto StatusPage::look(const config::Route& route, MonotonicTime now) const -> status::RouteStatus
{
    status::RouteStatus view;
    view.route = route.name;
    view.isDraining = m_sources.drainState->isDraining();
    view.lastOutcome = m_sources.board->find(route.service);
    const auto local = m_sources.targets->targetsOf(route.service, now);
    view.targetCount = static_cast<std::size_t>(std::count_if(local.begin(), local.end(),
        [](const member::Target& target) { return target.state == member::TargetState::Serving; }));
    view.lastSeenAt = m_sources.targets->lastAnnouncedAt(route.service, now);
    if (!m_sources.peers)
        return view;
    const auto peers = m_sources.peers->current();
    if (peers->isIsolated)
        return view;
    for (const auto& target : peers->targetsOf(route.service)) {
        const auto* owner = peers->find(target.owner.address);
        if (!owner || owner->state != member::MemberState::Alive)
            continue;
        ++view.targetCount;
        // Gossip says of a daemon that it is alive until it finds that it isn't; there is no older news of it.
        view.lastSeenAt = now;
    }
    return view;
}

auto StatusPage::makePage(MonotonicTime now) const -> http::Answer
{
    std::string text;
    if (const auto snapshot = m_sources.snapshots->current()) {
        for (const auto& route : snapshot->configuration->routes) {
            const auto view = look(route, now);
            text += m_format.render(view, status::advise(view, m_options, now));
            text += '\n';
        }
    }
    auto answer = http::makeAnswer(200, "text/plain; charset=utf-8", std::move(text));
    answer.headers.add("Cache-Control", "no-store");
    return answer;
}

} // namespace coriandergate::daemon
