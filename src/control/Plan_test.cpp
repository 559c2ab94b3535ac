#include "control/Plan.h"

#include "config/Configuration.h"
#include "config/Declaration.h"
#include "config/KeyDigest.h"
#include "control/KeyChange.h"
#include "control/KnownTargets.h"

#include <catch2/catch.hpp>

namespace coriandergate::control {

namespace {

    auto declarationOf(std::string_view text) -> config::Declaration
    {
        std::vector<config::DeclarationFault> faults;
        auto declaration = config::parseDeclaration(text, faults);
        REQUIRE(faults.empty());
        return *declaration;
    }

    auto baseConfiguration() -> config::Configuration
    {
        auto base = declarationOf(R"(services: [{ name: ledger }, { name: archive }]
clientAccounts: [{ name: a, ratePerSecond: 50, burst: 100 }, { name: b, ratePerSecond: 1, burst: 1 }]
routes:
  - { name: art, pathPrefix: /art, service: archive, isOpen: true }
  - { name: orders, pathPrefix: /orders, service: ledger, clientAccounts: [a] }
)")
                        .configuration;
        base.version = 4;
        base.clientAccounts[0].keyDigests = { config::digestOfKey("k") };
        return base;
    }

    auto knownTargets() -> KnownTargets { return { { { "ledger", { { "dc1", { 10, 6 } } } } } }; }

} // namespace

TEST_CASE("a plan names what changes, for whom, and warns", "[control]")
{
    const auto base = baseConfiguration();
    const auto intended = intendedConfiguration(base, declarationOf(R"(
services: [{ name: ledger, healthyFloor: 0.8, preferredDataCentres: [dc1, dc2] }, { name: archive }]
clientAccounts: [{ name: a, ratePerSecond: 20, burst: 100 }]
routes:
  - { name: orders, pathPrefix: /orders, service: archive, clientAccounts: [a], repeatPolicy: idempotent }
)"));
    CHECK(intended.version == 5);
    CHECK(intended.clientAccounts[0].keyDigests == base.clientAccounts[0].keyDigests);
    const auto plan = planChange(base, intended, knownTargets());
    std::string lines;
    for (const auto& change : plan.changes) {
        lines += change.section + "/" + change.name + " " + change.change;
        for (const auto& field : change.fields)
            lines += "; " + field;
        lines += "\n";
    }
    CHECK(lines == R"(services/ledger changed; healthyFloor: 0.7 -> 0.8; preferredDataCentres: default -> ["dc1","dc2"]
clientAccounts/a changed; ratePerSecond: 50.0 -> 20.0
clientAccounts/b removed
routes/orders changed; isIdempotent: default -> true; service: "ledger" -> "archive"
routes/art removed
)");
    std::string warnings;
    for (const auto& warning : plan.warnings)
        warnings += warning.kind + " " + warning.entry + ": " + warning.text + "\n";
    CHECK(warnings == R"(floorNotMet ledger: the floor asks for 8 healthy targets and 6 of 10 are
dataCentreWithoutTarget ledger: no target is known in data centre dc2
rateCut a: the rate falls from 50.0 to 20.0
accountRemoved b: every key of the account stops working
routeLosesLastTarget orders: service archive has no target
repeatAllowed orders: requests that ran at most once may run again
routeRemoved art: requests of the route find none, or a shorter one
)");
    CHECK(plan.clientAccounts == std::vector<std::string> { "*" });
    CHECK(plan.services == std::vector<std::string> { "archive", "ledger" });
}

TEST_CASE("a key is issued to one account and withdrawn by the start of its digest", "[control]")
{
    const auto base = baseConfiguration();
    const auto digest = config::digestOfKey(makeKey());
    Error reason;
    const auto issued = withKeyIssued(base, "b", digest, reason);
    REQUIRE(issued.has_value());
    CHECK(issued->version == 5);
    CHECK(planChange(base, *issued, {}).clientAccounts == std::vector<std::string> { "b" });
    CHECK_FALSE(withKeyIssued(*issued, "a", digest, reason).has_value());
    CHECK_FALSE(withKeyIssued(base, "nobody", digest, reason).has_value());
    auto withdrawn = withKeyWithdrawn(*issued, digest.substr(0, 8), reason);
    REQUIRE(withdrawn.has_value());
    CHECK(planChange(*issued, *withdrawn, {}).warnings[0].kind == "keyWithdrawn");
    withdrawn->version = base.version;
    CHECK(*withdrawn == base);
    CHECK_FALSE(withKeyWithdrawn(*issued, digest.substr(0, 7), reason).has_value());
    CHECK_FALSE(withKeyWithdrawn(*issued, "00000000", reason).has_value());
}

} // namespace coriandergate::control
