#include "daemon/AnnouncePlugin.h"

#include "base/Error.h"
#include "daemon/AdminRouter.h"
#include "http/Exchange.h"
#include "http/Problem.h"
#include "http/Status.h"
#include "kernel/Kernel.h"
#include "kernel/PluginRegistration.h"
#include "log/Event.h"
#include "member/TargetRegistry.h"

#include <nlohmann/json.hpp>

namespace coriandergate::daemon {

namespace {

    const kernel::PluginRegistration registration { "announce", 50, [] { return std::make_unique<AnnouncePlugin>(); } };

    const log::Event targetAnnounced { 1201, log::Severity::Info, "target announced", "a target became known" };
    const log::Event targetLeft { 1202, log::Severity::Info, "target left", "a target gets no new work" };
    const log::Event announcementRefused { 1203, log::Severity::Warning, "announcement refused",
        "the target's announcement; the reason says which field" };

    auto answerProblem(http::Exchange& exchange, int status, const std::string& reason) -> void
    {
        exchange.answer(http::makeAnswer(status, http::problemContentType, http::problemBody(status, reason)));
    }

    auto parseAnnouncement(const std::string& body, Error& reason) -> std::optional<member::TargetAnnouncement>
    {
        try {
            const auto document = nlohmann::json::parse(body);
            return member::TargetAnnouncement { document.at("service").get<std::string>(),
                document.at("address").get<std::string>(), document.at("slots").get<std::uint32_t>(),
                document.value("incarnation", std::uint64_t { 0 }) };
        } catch (const nlohmann::json::exception& exception) {
            reason = { "read announcement", "", exception.what() };
            return std::nullopt;
        }
    }

    auto announce(member::TargetRegistry& targets, http::Exchange& exchange) -> void
    {
        Error reason;
        const auto announcement = parseAnnouncement(exchange.request().body, reason);
        const auto version = targets.version();
        if (!announcement || !targets.announce(*announcement, monotonicNow(), reason)) {
            log::logEvent(announcementRefused, { { "caller", exchange.peer() }, { "reason", reason.toText() } });
            answerProblem(exchange, http::statusBadRequest, reason.toText());
            return;
        }
        if (targets.version() != version)
            log::logEvent(targetAnnounced,
                { { "target", announcement->address }, { "service", announcement->service },
                    { "slots", std::to_string(announcement->slots) } });
        exchange.answer({ .status = http::statusNoContent, .reason = {}, .headers = {}, .body = {} });
    }

    auto leave(member::TargetRegistry& targets, http::Exchange& exchange) -> void
    {
        const auto document = nlohmann::json::parse(exchange.request().body, nullptr, false);
        if (!document.is_object() || !document.contains("address") || !document["address"].is_string()) {
            answerProblem(exchange, http::statusBadRequest, "a JSON object with the target's address is needed");
            return;
        }
        const auto address = document["address"].get<std::string>();
        if (!targets.leave(address, monotonicNow())) {
            answerProblem(exchange, http::statusNotFound, "no target is known at " + address);
            return;
        }
        log::logEvent(targetLeft, { { "target", address } });
        exchange.answer({ .status = http::statusNoContent, .reason = {}, .headers = {}, .body = {} });
    }

} // namespace

auto AnnouncePlugin::start(kernel::Kernel& kernel, Error&) -> bool
{
    const auto targets = kernel.find<member::TargetRegistry>();
    const auto router = kernel.find<AdminRouter>();
    router->add("POST", "/announce",
        [targets](std::shared_ptr<http::Exchange> exchange) -> void { announce(*targets, *exchange); });
    router->add(
        "POST", "/leave", [targets](std::shared_ptr<http::Exchange> exchange) -> void { leave(*targets, *exchange); });
    return true;
}

} // namespace coriandergate::daemon
