#include "LibForward/retry_budget.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace quetzalcleat;
using namespace quetzalcleat::forward;

/// Guards against retries that multiply the load of a failing service: over all hosts and in every
/// window, retries stay within ratio x requests + additionalRetries for any order of events.
RC_GTEST_PROP(retry_budget, AllHostsTogetherStayWithinTheLimit, ())
{
    constexpr double additionalRetries = 20;
    constexpr double ratio = 0.2;
    constexpr std::chrono::milliseconds window{10'000};
    const auto hosts = *rc::gen::inRange<std::size_t>(1, 9);
    std::vector<retry_budget> budgets(
        hosts, retry_budget({ratio, window, additionalRetries, 1.0 / static_cast<double>(hosts)}));
    core::instant now{std::chrono::hours(1)};
    std::vector<core::instant> requests;
    std::vector<core::instant> retries;
    const auto within = [&](const std::vector<core::instant> &times) {
        return static_cast<double>(std::count_if(times.begin(), times.end(),
                                                 [&](auto time) { return now - time <= window; }));
    };
    const auto steps
        = *rc::gen::container<std::vector<std::pair<std::uint8_t, std::uint16_t>>>(rc::gen::pair(
            rc::gen::inRange<std::uint8_t>(0, 255), rc::gen::inRange<std::uint16_t>(0, 400)));
    for (const auto &[choice, pause] : steps) {
        now += std::chrono::milliseconds(pause);
        auto &host = budgets[choice % hosts];
        if (choice < 128) {
            host.recordRequest("service", now);
            requests.push_back(now);
        } else if (host.tryAcquire("service", now)) {
            retries.push_back(now);
        }
        RC_ASSERT(within(retries) <= ratio * within(requests) + additionalRetries + 1e-9);
    }
}

/// Guards against one service that uses up the retries of another one.
TEST(retry_budget, CountsServicesSeparately)
{
    const core::instant now{std::chrono::hours(1)};
    retry_budget budget({0.2, std::chrono::seconds(10), 1, 1});
    EXPECT_TRUE(budget.tryAcquire("one", now));
    EXPECT_FALSE(budget.tryAcquire("one", now));
    EXPECT_TRUE(budget.tryAcquire("two", now));
    EXPECT_TRUE(budget.tryAcquire("one", now + std::chrono::seconds(11)));
}
