#include "config/Declaration.h"

#include <catch2/catch.hpp>

#include <random>

namespace coriandergate::config {

namespace {

    constexpr std::string_view mesh = R"(services:
  - name: ledger
    healthyFloor: 0.8
    preferredDataCentres: [rajkot-1, surat-1]
    placements:
      - { callerDataCentre: surat-1, dataCentres: [surat-1] }
  - name: archive
clientAccounts:
  - { name: member-1, ratePerSecond: 50, burst: 100 }
  - name: member-2
    ratePerSecond: 0.5
    burst: 2
    keyDigests: [0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef]
routes:
  - { name: quotas, pathPrefix: /quotas, service: ledger, repeatPolicy: idempotent, deadline: 2s }
  - { name: art, host: art.example, pathPrefix: /, service: archive, isOpen: true, maximumAnswerBytes: 9000 }
  - { name: dispatches, pathPrefix: /dispatches, service: ledger, clientAccounts: [member-2, member-1] }
)";

    auto faultsOf(std::string_view text) -> std::string
    {
        std::vector<DeclarationFault> faults;
        const auto declaration = parseDeclaration(text, faults);
        CHECK(declaration.has_value() == faults.empty());
        std::string list;
        for (const auto& fault : faults)
            list += fault.toText("f") + "\n";
        return list;
    }

} // namespace

TEST_CASE("a valid declaration is read with its defaults, sorted by name", "[config]")
{
    std::vector<DeclarationFault> faults;
    const auto declaration = parseDeclaration(mesh, faults);
    REQUIRE(faults.empty());
    const auto& configuration = declaration->configuration;
    REQUIRE(configuration.routes.size() == 3);
    CHECK(configuration.routes[0].name == "art");
    CHECK(configuration.routes[1].clientAccounts == std::vector<std::string> { "member-1", "member-2" });
    CHECK(configuration.routes[2].repeatPolicy == RepeatPolicy::Idempotent);
    CHECK(configuration.routes[2].deadline == std::chrono::seconds(2));
    CHECK(configuration.services[1].dataCentresFor("surat-1") == std::vector<std::string> { "surat-1" });
    CHECK(configuration.services[1].dataCentresFor("other") == std::vector<std::string> { "rajkot-1", "surat-1" });
    CHECK(declaration->accountsWithManagedKeys == std::set<std::string> { "member-1" });
}

TEST_CASE("every fault of a declaration is reported at once with its place", "[config]")
{
    CHECK(faultsOf(R"(services:
  - { name: ledger, healthyFloor: 1.5 }
  - name: Ledger
clientAccounts:
  - { name: a, ratePerSecond: 0, burst: 0.5, keyDigests: [xyz], colour: red }
  - { name: a, burst: nan }
routes:
  - { name: r, pathPrefix: quotas, service: ledgr, deadline: 5 }
  - { name: s, pathPrefix: /a/../b, service: ledger, isOpen: yes }
  - { name: t, pathPrefix: /a, service: ledger, isOpen: true, clientAccounts: [b] }
  - { name: u, pathPrefix: /a/, service: [ledger] }
extra:
  - 1
)") == R"(f:2:35: services[0].healthyFloor: '1.5' is out of range (allowed: a number from 0.0 to 1.0)
f:3:11: services[1].name: 'Ledger' is not valid (allowed: 1 to 63 lower-case letters, digits, '-', '_' and '.', with a letter or digit first)
f:5:31: clientAccounts[0].ratePerSecond: '0' is out of range (allowed: a number from 0.001 to 1000000.0)
f:5:41: clientAccounts[0].burst: '0.5' is out of range (allowed: a number from 1.0 to 10000000.0)
f:5:59: clientAccounts[0].keyDigests: 'xyz' is not valid (allowed: 64 lower-case hexadecimal digits)
f:5:65: clientAccounts[0].colour: unknown field (allowed: burst, keyDigests, name, ratePerSecond)
f:6:5: clientAccounts[1].ratePerSecond: the field is missing
f:6:13: clientAccounts[1].name: 'a' is declared twice (allowed: names that differ)
f:6:23: clientAccounts[1].burst: 'nan' is out of range (allowed: a number from 1.0 to 10000000.0)
f:8:28: routes[0].pathPrefix: 'quotas' is not valid (allowed: 1 to 1024 printable characters from '/', without '?', '#', '%', '//' and dot segments)
f:8:45: routes[0].service: 'ledgr': no such service is declared
f:8:62: routes[0].deadline: '5' is not a duration in range (allowed: a whole number with the unit ms, s or m, from 1ms to 600000ms)
f:9:28: routes[1].pathPrefix: '/a/../b' is not valid (allowed: 1 to 1024 printable characters from '/', without '?', '#', '%', '//' and dot segments)
f:9:62: routes[1].isOpen: 'yes' is not valid (allowed: true or false)
f:10:79: routes[2].clientAccounts: the route is open to all (allowed: either isOpen or clientAccounts)
f:10:79: routes[2].clientAccounts: 'b': no such client account is declared
f:11:28: routes[3].pathPrefix: route 't' takes the same host and prefix (allowed: one route for each)
f:11:42: routes[3].service: the field is not a single value
f:12:1: extra: unknown section (allowed: routes, clientAccounts and services)
)");
}

TEST_CASE("what is no declaration at all is refused with its place", "[config]")
{
    const auto [text, fault] = GENERATE(table<std::string, std::string>({
        { "", "f:1:1: the declaration is empty" },
        { "- a", "f:1:1: the declaration is not a mapping" },
        { "text", "f:1:1: the declaration is not a mapping" },
        { "routes: 7", "f:1:9: routes: the section is not a list" },
        { "routes: {a: b}", "f:1:9: routes: the section is not a list" },
        { "routes: [7]", "f:1:10: routes[0]: the entry is not a mapping" },
        { "routes: [", "f:1:" },
        { "services: []\n---\nservices: []", "f:1:1: a second document follows" },
        { "services:\n  - &a { name: x }\n  - *a", "f:3:5: services: aliases are not supported" },
        { "a: " + std::string(100, '[') + std::string(100, ']'), "f:1:" },
    }));
    CAPTURE(text);
    CHECK(faultsOf(text).substr(0, fault.size()) == fault);
}

TEST_CASE("a written declaration reads back as the same configuration", "[config]")
{
    std::vector<DeclarationFault> faults;
    const auto configuration = parseDeclaration(mesh, faults)->configuration;
    const auto copy = parseDeclaration(writeDeclaration(configuration), faults);
    REQUIRE(faults.empty());
    CHECK(copy->configuration == configuration);
    CHECK(copy->accountsWithManagedKeys.empty());
}

TEST_CASE("a damaged declaration is read or refused, never more", "[config]")
{
    std::mt19937_64 random(20);
    for (int i = 0; i < 3000; ++i) {
        std::string text(mesh);
        for (auto edits = random() % 4 + 1; edits > 0; --edits)
            text[random() % text.size()] = static_cast<char>(random() % 128);
        std::vector<DeclarationFault> faults;
        const auto declaration
            = parseDeclaration(text.substr(0, random() % 3 == 0 ? random() % text.size() : text.size()), faults);
        REQUIRE(declaration.has_value() == faults.empty());
    }
}

} // namespace coriandergate::config
