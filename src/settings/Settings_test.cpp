#include "settings/SettingDefinition.h"
#include "settings/Settings.h"

#include <catch2/catch.hpp>

using namespace coriandergate;
using namespace coriandergate::settings;

namespace {

auto noEnvironment(const std::string&) -> std::optional<std::string> { return std::nullopt; }

} // namespace

TEST_CASE("a setting's value must lie in its range")
{
    struct Case {
        SettingKind kind;
        std::string value;
        bool isAllowed;
    };
    const Case cases[] = { { IntegerKind { 1, 64 }, "64", true }, { IntegerKind { 1, 64 }, "65", false },
        { IntegerKind { 1, 64 }, "6x", false }, { IntegerKind { 1, 64 }, "", false },
        { DurationKind { 0, 10 }, "-1", false }, { AddressKind {}, "127.0.0.1:0", true },
        { AddressKind {}, "localhost:80", false }, { AddressKind {}, "127.0.0.1:70000", false },
        { AddressKind { true }, "", true }, { AddressListKind {}, "127.0.0.1:1, 127.0.0.1:2", true },
        { AddressListKind {}, "127.0.0.1:1,x", false }, { TextKind { false }, "", false } };
    for (const auto& [kind, value, allowed] : cases) {
        INFO(describeRange(kind) << " with '" << value << "'");
        CHECK(isAllowed(kind, value) == allowed);
    }
}

TEST_CASE("every bad setting is named with its range")
{
    std::vector<Error> faults;
    CHECK_FALSE(readSettings("p", "s", { "--workers=0", "--listen=here" }, noEnvironment, faults));
    REQUIRE(faults.size() == 2);
    CHECK(faults[0].toText() == "check settings (--listen): 'here' is not allowed; give IP:port");
    CHECK(faults[1].toText().find("--workers") != std::string::npos);
}

TEST_CASE("a flag goes before the environment and that before the default")
{
    const auto environment = [](const std::string& name) -> std::optional<std::string> {
        return name == "CORIANDERGATE_WORKERS" ? std::optional<std::string>("3") : std::nullopt;
    };
    std::vector<Error> faults;
    CHECK(readSettings("p", "s", {}, environment, faults)->integer("workers") == 3);
    CHECK(readSettings("p", "s", { "--workers=4" }, environment, faults)->integer("workers") == 4);
    CHECK(readSettings("p", "s", {}, noEnvironment, faults)->integer("workers") == 2);
    CHECK_FALSE(readSettings("p", "s", { "--no-such=1" }, noEnvironment, faults));
}
