// Finds the route of a request among all routes of one configuration.
//
// Build one per accepted configuration and share it between threads; it never changes.
//
//   const RouteTable routes(configuration);
//   if (const Route* route = routes.match("orders.example", "/orders/7/lines?page=2"))
//       forward(route->service);
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace coriandergate::config {

struct Configuration;
struct Route;

// RouteTable is immutable and keeps its configuration alive.
//
// A route that names the request's host goes before one that names none; then the longest prefix wins. A prefix matches
// only at a segment border: "/orders" takes "/orders" and "/orders/7", not "/orders-archive".
class RouteTable {
public:
    explicit RouteTable(std::shared_ptr<const Configuration> configuration);

    // match() is the route of a request, or null when none takes it. `host` is the Host header (a port is ignored, case
    // does not matter); `path` is the request target (a query is ignored). Percent-encoded unreserved characters are
    // compared as if decoded, as RFC 3986 has them. A path with dot segments matches nothing, since a target might
    // resolve it to a path of another route. The pointer lives as long as the table. Safe from any thread.
    [[nodiscard]] auto match(std::string_view host, std::string_view path) const -> const Route*;

private:
    struct ViewHash {
        // The standard library asks for this name.
        using is_transparent = void; // NOLINT(readability-identifier-naming)
        auto operator()(std::string_view text) const -> std::size_t { return std::hash<std::string_view> {}(text); }
    };

    // The routes of one host by their prefix without a trailing slash.
    struct HostRoutes {
        std::unordered_map<std::string, const Route*, ViewHash, std::equal_to<>> byPrefix;
        std::size_t longestPrefix = 0;

        [[nodiscard]] auto match(std::string_view path) const -> const Route*;
    };

    std::shared_ptr<const Configuration> m_configuration;
    std::unordered_map<std::string, HostRoutes, ViewHash, std::equal_to<>> m_byHost;
};

} // namespace coriandergate::config
