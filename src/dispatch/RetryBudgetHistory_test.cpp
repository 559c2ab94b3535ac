// Guards against more repeated requests at a service than the fleet may send, which its targets would see.
#include "testing/RetryHistory.h"

#include <catch2/catch.hpp>
#include <cstddef>

namespace coriandergate::dispatch {

using testing::RetryHistory;

namespace {

    auto checkHistories(RetryHistory::Options options) -> void
    {
        constexpr unsigned histories = 100;
        constexpr std::size_t sizes[] = { 4, 12, 28, 60 };
        constexpr double fixedRetriesPerHost = 2;
        for (unsigned seed = 1; seed <= histories; ++seed) {
            options.seed = seed;
            options.hosts = sizes[seed % std::size(sizes)];
            options.budget.retriesPerWindow = fixedRetriesPerHost * static_cast<double>(options.hosts);
            RetryHistory history(options);
            history.play();
            CAPTURE(seed, options.hosts, history.repeats());
            CHECK(history.worstExcess() <= 0);
        }
    }

} // namespace

TEST_CASE("repeats of a fleet stay within its budget while targets fail") { checkHistories({}); }

TEST_CASE("repeats of a fleet stay within its budget while daemons are restarted")
{
    checkHistories({ .hasRestarts = true });
}

TEST_CASE("repeats of a fleet stay within its budget while hosts join and leave")
{
    checkHistories({ .hasJoins = true });
}

TEST_CASE("repeats of a fleet stay within its budget while load moves and falls")
{
    checkHistories({ .hasChangingLoad = true });
}

TEST_CASE("repeats of a fleet stay within its budget with the calls that repeated runs make")
{
    checkHistories({ .hasCalls = true });
}

TEST_CASE("repeats of a fleet stay within its budget when some arrive late")
{
    checkHistories({ .hasSlowPaths = true });
}

TEST_CASE("repeats of a fleet stay within its budget beside all of these")
{
    checkHistories(
        { .hasRestarts = true, .hasJoins = true, .hasChangingLoad = true, .hasCalls = true, .hasSlowPaths = true });
}

} // namespace coriandergate::dispatch
