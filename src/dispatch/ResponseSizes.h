// The mean response size of each route, and how much it makes the distance of a target count.
//
// Load pattern: large responses over links between data centres and regions that are narrow and shared by all requests.
//
//   ResponseSizes sizes({});
//   sizes.record("artwork", response.body.size());
//   balancer.choose({ .distanceFactor = sizes.distanceFactor("artwork") }, now, random);
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace coriandergate::dispatch {

// ResponseSizes is used by one thread.
class ResponseSizes {
public:
    struct Options {
        double doublingBytes = 60000; // mean response size at which a target's distance counts twice
        double maximumFactor = 3;
    };

    explicit ResponseSizes(const Options& options)
        : m_options(options)
    {
    }

    auto record(const std::string& route, std::size_t bytes) -> void;

    // distanceFactor() scales the distance penalties of LoadBalancer; 1 for a route without responses so far.
    [[nodiscard]] auto distanceFactor(std::string_view route) const -> double;

private:
    Options m_options;
    std::map<std::string, double, std::less<>> m_meanBytes; // moving average, by route name
};

} // namespace coriandergate::dispatch
