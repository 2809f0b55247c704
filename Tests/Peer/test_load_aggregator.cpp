#include "LibPeer/load_aggregator.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace quetzalcleat;
using namespace quetzalcleat::peer;

/// Guards against sums that drift from the reports: whatever the order of reports and pauses, a
/// host gets the sum of the newest reports of all others that are not too old.
RC_GTEST_PROP(load_aggregator, SumsAreThoseOfTheNewestReports, ())
{
    load_aggregator aggregator;
    core::instant now{std::chrono::hours(1)};
    struct known
    {
        core::instant at;
        std::uint32_t running = 0;
    };
    std::map<std::string, std::map<std::string, known>> expected;
    const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, std::uint32_t, int>>>(
        rc::gen::tuple(rc::gen::inRange(0, 5), rc::gen::inRange(0, 4),
                       rc::gen::inRange<std::uint32_t>(0, 9), rc::gen::inRange(0, 900)));
    for (const auto &[host, endpoint, running, pause] : steps) {
        now += std::chrono::milliseconds(pause);
        const auto hostName = "h" + std::to_string(host);
        const auto endpointName = "i" + std::to_string(endpoint);
        RC_ASSERT(aggregator.record(hostName, {{endpointName, running, running % 2, running * 10U}},
                                    now));
        expected[hostName] = {{endpointName, {now, running}}};
        for (int asking = 0; asking < 5; ++asking) {
            const auto askingName = "h" + std::to_string(asking);
            std::map<std::string, std::uint32_t> sums;
            std::map<std::string, std::uint32_t> lost;
            for (const auto &[other, loads] : expected) {
                for (const auto &[incarnation, load] : loads) {
                    if (other == askingName || now - load.at > load_aggregator::reportLifetime)
                        continue;
                    sums[incarnation] += load.running;
                    lost[incarnation] += load.running % 2;
                }
            }
            std::erase_if(sums, [](const auto &entry) { return entry.second == 0; });
            std::map<std::string, std::uint32_t> given;
            for (const auto &load : aggregator.sumsExcluding(askingName, now)) {
                given[load.incarnation] = load.running;
                RC_ASSERT(load.waitingTokens == load.running * 10U);
                RC_ASSERT(load.lossReports == lost[load.incarnation]);
            }
            RC_ASSERT(given == sums);
        }
    }
}
