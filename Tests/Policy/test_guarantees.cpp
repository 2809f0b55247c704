#include "policy_fixture.h"

#include <gtest/gtest.h>
#include <iostream>
#include <rapidcheck.h>
#include <rapidcheck/detail/Configuration.h>

using namespace quetzalcleat;
using namespace quetzalcleat::policy;
using namespace quetzalcleat::policy_test;
using namespace std::chrono_literals;

namespace {

void printSeed()
{
    const std::uint64_t seed = rc::detail::configuration().testParams.seed;
    std::cout << "seed=" << seed << '\n';
}

struct totals
{
    std::uint64_t shed = 0;
    std::uint64_t preempted = 0;
    std::uint64_t retried = 0;
};

/// Runs a generated history and checks every decision against the requests submitted so far.
class history_checker
{
public:
    history_checker()
        : m_document(generateDocument()),
          m_driver(m_document, generateOptions(), *rc::gen::arbitrary<std::uint64_t>())
    {
    }

    void run()
    {
        // Not shrunk: that takes minutes for a history of this length, and the seed repeats it.
        const auto steps = *rc::gen::noShrink(rc::gen::container<std::vector<std::uint8_t>>(
            1500, rc::gen::arbitrary<std::uint8_t>()));
        for (const std::uint8_t step : steps) {
            if (step < 150)
                submit(step);
            else if (step < 190)
                finishOne(step);
            else if (step < 220)
                deliver();
            checkTick(std::chrono::milliseconds(step % 40));
        }
    }

    totals seen;

private:
    struct known_request
    {
        std::uint32_t rank = 0;
        bool repeatable = true;
        std::uint32_t dispatches = 0;
    };

    static inventory::document generateDocument()
    {
        auto document = makeDocument(3, *rc::gen::inRange(1U, 4U), 0, *rc::gen::inRange(1U, 3U));
        for (auto &entry : document.classes) {
            entry.queueLength = *rc::gen::inRange(1U, 7U);
            entry.preemptible = *rc::gen::inRange(0, 4) != 0;
            entry.timeToFirstToken = std::chrono::milliseconds(*rc::gen::inRange(20, 150));
            entry.minimumShare = *rc::gen::element(0.0, 0.1);
            entry.maximumWait = std::chrono::milliseconds(*rc::gen::inRange(50, 2000));
        }
        return document;
    }

    static policy_options generateOptions()
    {
        policy_options options;
        options.hostQueueBound = *rc::gen::inRange(3U, 12U);
        options.tierQueueBound = *rc::gen::inRange(2U, 8U);
        return options;
    }

    void submit(std::uint8_t step)
    {
        auto spec = makeSpec(step % 3, step / 3 % 2);
        spec.repeatable = step % 5 != 0;
        const auto id = m_driver.submit(spec);
        if (id.value != 0)
            m_known[id]
                = {m_document.tiers[m_document.classes[step % 3].tier].rank, spec.repeatable, 0};
    }

    void finishOne(std::uint8_t step)
    {
        if (m_driver.running.empty())
            return;
        auto position = m_driver.running.begin();
        std::advance(position, step % m_driver.running.size());
        const auto outcome
            = step % 4 == 0 ? attempt_outcome::RetryBeforeFirstByte : attempt_outcome::Completed;
        seen.retried += m_driver.finish(position->first, outcome) ? 1 : 0;
    }

    void deliver()
    {
        for (const auto &[id, decision] : m_driver.running)
            m_driver.core.reportTokens(id, 1, m_driver.now);
    }

    void checkTick(std::chrono::milliseconds elapsed)
    {
        const auto before = m_driver.running;
        for (const auto &decision : m_driver.tick(elapsed)) {
            auto &request = m_known.at(decision.request);
            if (decision.kind == decision_kind::Dispatch) {
                ++request.dispatches;
                RC_ASSERT(request.repeatable || request.dispatches == 1U);
            }
            if (decision.kind != decision_kind::Shed && decision.kind != decision_kind::Preempt)
                continue;
            RC_ASSERT(decision.beneficiary.has_value());
            const std::uint32_t beneficiaryRank = m_known.at(*decision.beneficiary).rank;
            RC_ASSERT(request.rank >= beneficiaryRank);
            if (decision.kind == decision_kind::Shed) {
                ++seen.shed;
                RC_ASSERT(request.dispatches == 0U);
                continue;
            }
            ++seen.preempted;
            RC_ASSERT(request.rank > beneficiaryRank);
            RC_ASSERT(request.repeatable);
            RC_ASSERT(before.contains(decision.request));
        }
        for (const auto &endpoint : m_driver.core.dump().endpoints)
            RC_ASSERT(endpoint.inFlight <= endpoint.capacity);
    }

    inventory::document m_document;
    driver m_driver;
    std::map<request_id, known_request> m_known;
};

} // namespace

// Guards against a shed or preempted request of a higher tier for a lower one, a shed or preempt
// without a beneficiary (guarantee 1), and a second dispatch of a non-repeatable call (5).
TEST(Guarantees, HigherTierIsNeverShedOrPreemptedForLower)
{
    printSeed();
    totals seen;
    EXPECT_TRUE(rc::check("no shed or preempt of a higher tier for a lower one", [&seen] {
        history_checker checker;
        checker.run();
        seen.shed += checker.seen.shed;
        seen.preempted += checker.seen.preempted;
        seen.retried += checker.seen.retried;
    }));
    // Without such events the property would hold trivially.
    EXPECT_GT(seen.shed, 30U);
    EXPECT_GT(seen.preempted, 30U);
    EXPECT_GT(seen.retried, 30U);
    std::cout << "histories held " << seen.shed << " sheds, " << seen.preempted << " preemptions, "
              << seen.retried << " retries\n";
}

// Guards against starvation of the lowest class while the top tier fills every slot (guarantee 2).
TEST(Guarantees, LowestClassHasABoundedWait)
{
    printSeed();
    EXPECT_TRUE(rc::check("bounded wait of the lowest class", [] {
        const auto slots = *rc::gen::inRange(1U, 5U);
        const auto waiting = *rc::gen::inRange(1U, 12U);
        const std::chrono::milliseconds service(*rc::gen::inRange(5, 40) * 10);
        auto document = makeDocument(3, 1, 0, slots);
        document.classes[0].deadline = 1h;
        document.classes[0].queueLength = 64;
        document.classes[2].deadline = 1h;
        document.classes[2].maximumWait = std::chrono::milliseconds(*rc::gen::inRange(100, 3000));
        driver driver(document);
        std::map<request_id, core::instant> started;
        const auto refill = [&] {
            while (driver.core.dump().classes[0].queued < 2 * slots)
                driver.submit(makeSpec(0));
        };
        refill();
        driver.tick();
        refill();
        std::vector<request_id> low;
        for (std::uint32_t index = 0; index < waiting; ++index)
            low.push_back(driver.submit(makeSpec(2, index % 2)));
        const auto begin = driver.now;
        // Every aged request may wait for the dispatches that earn its credit, plus one service
        // time for a slot. A slot is filled again one tick after it became free.
        const auto turns = static_cast<int>(1 / policy_options().agedDispatchShare) + 1;
        const auto bound = document.classes[2].maximumWait
            + (service + 10ms) * (turns * static_cast<int>(waiting) / static_cast<int>(slots) + 2)
            + 20ms;
        std::map<request_id, core::instant> ends;
        while (driver.now < begin + bound) {
            for (const auto &[id, end] : ends)
                if (end <= driver.now)
                    driver.finish(id);
            std::erase_if(ends, [&](const auto &entry) { return entry.second <= driver.now; });
            for (const auto &decision : driver.tick(10ms))
                if (decision.kind == decision_kind::Dispatch)
                    started[decision.request] = driver.now;
            for (const auto &[id, decision] : driver.running)
                ends.try_emplace(id, driver.now + service);
            refill();
        }
        for (const request_id id : low)
            RC_ASSERT(started.contains(id));
    }));
}

// Guards against a minimum share that is ignored, or that takes much more than its fraction.
TEST(Guarantees, MinimumShareIsKept)
{
    auto document = makeDocument(2, 1, 0, 4);
    document.classes[0].deadline = 1h;
    document.classes[1].deadline = 1h;
    document.classes[1].maximumWait = 1h;
    document.classes[1].minimumShare = 0.2;
    driver driver(document);
    std::map<std::uint32_t, std::uint32_t> dispatched;
    std::map<request_id, std::uint32_t> classes;
    for (int round = 0; round < 500; ++round) {
        for (const std::uint32_t requestClass : {0U, 1U})
            while (driver.core.dump().classes[requestClass].queued < 10)
                classes[driver.submit(makeSpec(requestClass))] = requestClass;
        for (const auto &decision : driver.tick(10ms))
            ++dispatched[classes.at(decision.request)];
        while (!driver.running.empty()) {
            // As many as estimated, so that all requests cost the same.
            driver.core.reportTokens(driver.running.begin()->first, 16, driver.now);
            driver.finish(driver.running.begin()->first);
        }
    }
    const double fraction = dispatched[1] / static_cast<double>(dispatched[0] + dispatched[1]);
    EXPECT_NEAR(fraction, 0.2, 0.02);
}
