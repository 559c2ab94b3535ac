// The plain-text status page that callers' scripts read: a line for each route, what to do and on what news.
//
//   if (page.takes(request))
//       exchange->answer(page.makePage(now));
#pragma once

#include "base/Clock.h"
#include "http/Answer.h"
#include "status/Advice.h"
#include "status/LineFormat.h"

#include <memory>
#include <string>

namespace coriandergate::config {
struct Route;
}
namespace coriandergate::http {
struct Request;
}
namespace coriandergate::member {
class PeerTable;
class TargetRegistry;
}
namespace coriandergate::proxy {
class SnapshotHolder;
}
namespace coriandergate::status {
class ServiceOutcomeTable;
struct RouteStatus;
}

namespace coriandergate::daemon {

class DrainState;

// StatusPage is immutable and safe from any thread.
class StatusPage {
public:
    struct Sources {
        std::shared_ptr<proxy::SnapshotHolder> snapshots;
        std::shared_ptr<member::TargetRegistry> targets;
        std::shared_ptr<member::PeerTable> peers; // may be null
        std::shared_ptr<status::ServiceOutcomeTable> board;
        std::shared_ptr<DrainState> drainState;
    };

    StatusPage(
        Sources sources, std::string path, const status::LineFormat& format, const status::Advice::Options& options);

    // takes() says whether `request` asks for this page.
    [[nodiscard]] auto takes(const http::Request& request) const -> bool;

    // makePage() is the page of `now`.
    [[nodiscard]] auto makePage(MonotonicTime now) const -> http::Answer;

private:
    [[nodiscard]] auto look(const config::Route& route, MonotonicTime now) const -> status::RouteStatus;

    Sources m_sources;
    std::string m_path;
    status::LineFormat m_format;
    status::Advice::Options m_options;
};

} // namespace coriandergate::daemon
