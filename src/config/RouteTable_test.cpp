#include "config/RouteTable.h"

#include "config/Configuration.h"

#include <catch2/catch.hpp>

#include <random>
#include <string>

namespace coriandergate::config {

namespace {

    auto routeOf(std::string name, std::string host, std::string prefix) -> Route
    {
        Route route;
        route.name = std::move(name);
        route.host = std::move(host);
        route.pathPrefix = std::move(prefix);
        return route;
    }

    // The naive way: look at every route.
    auto matchByScan(const Configuration& configuration, const std::string& host, const std::string& path)
        -> const Route*
    {
        const Route* best = nullptr;
        for (const auto& route : configuration.routes) {
            if (!route.host.empty() && route.host != host)
                continue;
            const auto prefix = route.pathPrefix == "/" ? std::string() : route.pathPrefix;
            if (path.rfind(prefix, 0) != 0 || (path.size() > prefix.size() && path[prefix.size()] != '/'))
                continue;
            const auto rank = [](const Route& r) { return std::make_pair(!r.host.empty(), r.pathPrefix.size()); };
            if (best == nullptr || rank(route) > rank(*best))
                best = &route;
        }
        return best;
    }

} // namespace

TEST_CASE("RouteTable finds the longest prefix at a segment border", "[config]")
{
    auto configuration = std::make_shared<Configuration>();
    configuration->routes = { routeOf("all", "", "/"), routeOf("orders", "", "/orders"),
        routeOf("lines", "", "/orders/lines/"), routeOf("studio", "studio.example", "/art") };
    const RouteTable table(configuration);
    struct Case {
        std::string host, path, expected;
    };
    const auto [host, path, expected] = GENERATE(values<Case>({
        { "a", "/", "all" },
        { "a", "/orders", "orders" },
        { "a", "/orders?x=/orders/lines", "orders" },
        { "a", "/orders/", "orders" },
        { "a", "/orders/7", "orders" },
        { "a", "/orders-archive", "all" },
        { "a", "/orders/lines", "lines" },
        { "a", "/orders/lines/3/4/5/6/7/8/9", "lines" },
        { "a", "/%6frders/7", "orders" },
        { "a", "/orders%2flines", "all" },
        { "a", "/orders/../secret", "" },
        { "a", "/orders/%2e%2E/secret", "" },
        { "a", "/orders/.", "" },
        { "a", "/orders/.hidden", "orders" },
        { "a", "", "" },
        { "a", "*", "" },
        { "Studio.Example:8080", "/art/7", "studio" },
        { "studio.example", "/orders", "orders" },
        { "other.example", "/art/7", "all" },
    }));
    const auto* route = table.match(host, path);
    CAPTURE(host, path);
    CHECK((route == nullptr ? "" : route->name) == expected);
}

TEST_CASE("RouteTable agrees with a scan over every route", "[config]")
{
    std::mt19937_64 random(20);
    const auto randomPath = [&random] {
        std::string path;
        for (auto segments = random() % 5 + 1; segments > 0; --segments)
            path += "/" + std::string(random() % 2 + 1, static_cast<char>('a' + random() % 3));
        return path;
    };
    auto configuration = std::make_shared<Configuration>();
    for (int i = 0; i < 60; ++i) {
        const auto host = random() % 3 == 0 ? "h" : "";
        auto route = routeOf(std::to_string(i), host, i == 0 ? "/" : randomPath());
        const auto isTaken
            = [&](const Route& other) { return other.host == host && other.pathPrefix == route.pathPrefix; };
        if (std::none_of(configuration->routes.begin(), configuration->routes.end(), isTaken))
            configuration->routes.push_back(route);
    }
    const RouteTable table(configuration);
    for (int i = 0; i < 5000; ++i) {
        const std::string host = random() % 2 == 0 ? "h" : "g";
        const auto path = randomPath();
        CAPTURE(host, path);
        REQUIRE(table.match(host, path) == matchByScan(*configuration, host, path));
    }
}

} // namespace coriandergate::config
