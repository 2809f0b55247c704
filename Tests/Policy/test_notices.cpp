#include "policy_fixture.h"

#include "LibPolicy/policy_error.h"

#include <array>
#include <optional>
#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace quetzalcleat;
using namespace quetzalcleat::policy;
using namespace quetzalcleat::policy_test;
using namespace std::chrono_literals;

namespace {

/// A leaving endpoint is used for this long after its own notice, if no other can serve.
constexpr auto usableWhileLeaving = 2500ms;

answer_notice leavingAnswer()
{
    answer_notice notice;
    notice.isLeaving = true;
    return notice;
}

answer_notice refusalFor(std::chrono::milliseconds wait)
{
    answer_notice notice;
    notice.isRefusal = true;
    notice.wait = wait;
    return notice;
}

enum class action { Submit, Answer, AnswerLeaving, Refuse, ListLeaving, ListLive, Restart, Tick };

struct step
{
    action what = action::Submit;
    std::uint32_t endpoint = 0;
    std::chrono::milliseconds time{0}; ///< Of the wait or the tick.
};

std::vector<step> anySteps()
{
    const auto one = rc::gen::apply(
        [](int what, std::uint32_t endpoint, int time) {
            return step{static_cast<action>(what), endpoint, std::chrono::milliseconds(time)};
        },
        rc::gen::weightedOneOf<int>({{6, rc::gen::inRange(0, 2)}, {4, rc::gen::inRange(2, 8)}}),
        rc::gen::inRange<std::uint32_t>(0, 2), rc::gen::element(0, 1, 40, 400, 900, 2600));
    return *rc::gen::container<std::vector<step>>(one);
}

/// What an incarnation said, kept without any of the rules.
struct heard
{
    std::uint64_t number = 1;
    std::optional<core::instant> ownLeave;
    bool listFirst = false;
    std::optional<core::instant> waitEnd;
};

struct attempt
{
    request_id request;
    std::uint32_t endpoint = 0;
    std::uint64_t number = 0;
};

/// Plays a history of notices and checks each dispatch against what the endpoints said.
class notice_checker
{
public:
    notice_checker() : m_driver(makeDocument(1, 2, 0, 4)) { report(0), report(1); }

    void apply(const step &step)
    {
        switch (step.what) {
        case action::Submit:
            m_driver.submit(makeSpec(0));
            break;
        case action::Answer:
            answer({}, attempt_outcome::Completed);
            break;
        case action::AnswerLeaving:
            answer(leavingAnswer(), attempt_outcome::Completed);
            break;
        case action::Refuse:
            answer(refusalFor(step.time), attempt_outcome::Refused);
            break;
        case action::ListLeaving:
        case action::ListLive:
            list(step);
            break;
        case action::Restart:
            m_heard.at(step.endpoint) = {m_heard.at(step.endpoint).number + 1, {}, false, {}};
            report(step.endpoint);
            break;
        case action::Tick:
            m_driver.now += step.time;
            break;
        }
        dispatch();
    }

private:
    void report(std::uint32_t endpoint)
    {
        load_report report;
        report.incarnation = m_heard.at(endpoint).number;
        m_driver.core.reportLoad(endpoint_id{endpoint}, report, m_driver.now);
    }

    void list(const step &step)
    {
        auto &said = m_heard.at(step.endpoint);
        const bool isLeaving = step.what == action::ListLeaving;
        if (isLeaving && !said.ownLeave)
            said.listFirst = true;
        m_driver.core.reportEndpointState(
            "engine-" + std::to_string(step.endpoint), state_source::Platform,
            isLeaving ? endpoint_state::Leaving : endpoint_state::Live, said.number, m_driver.now);
    }

    /// Of the attempt that runs longest.
    void answer(const answer_notice &notice, attempt_outcome outcome)
    {
        if (m_attempts.empty())
            return;
        const auto oldest = m_attempts.front();
        m_attempts.erase(m_attempts.begin());
        m_driver.core.reportAnswer(oldest.request, notice, m_driver.now);
        auto &said = m_heard.at(oldest.endpoint);
        if (said.number == oldest.number) {
            if (notice.isLeaving && !said.ownLeave)
                said.ownLeave = m_driver.now;
            if (notice.wait)
                said.waitEnd
                    = std::max(said.waitEnd.value_or(m_driver.now), m_driver.now + *notice.wait);
        }
        m_driver.finish(oldest.request, outcome);
    }

    void dispatch()
    {
        for (const auto &decision : m_driver.tick()) {
            if (decision.kind != decision_kind::Dispatch)
                continue;
            const auto endpoint = decision.endpoint.value;
            const auto &said = m_heard.at(endpoint);
            const auto &other = m_heard.at(1 - endpoint);
            RC_ASSERT(!said.listFirst);
            RC_ASSERT(!said.waitEnd || *said.waitEnd <= m_driver.now);
            if (said.ownLeave) {
                RC_ASSERT(m_driver.now < *said.ownLeave + usableWhileLeaving);
                const bool isOtherFree = !other.ownLeave && !other.listFirst && !other.waitEnd;
                RC_ASSERT(!isOtherFree
                          || m_driver.endpoint(1 - endpoint).health != endpoint_health::Healthy);
            }
            m_attempts.push_back({decision.request, endpoint, said.number});
        }
        // Work that an endpoint without any notice could take does not wait.
        for (std::uint32_t endpoint = 0; endpoint < m_heard.size(); ++endpoint) {
            const auto &said = m_heard.at(endpoint);
            const auto view = m_driver.endpoint(endpoint);
            if (!said.ownLeave && !said.listFirst && !said.waitEnd
                && view.health == endpoint_health::Healthy && view.inFlight < view.capacity)
                RC_ASSERT(m_driver.core.dump().classes.at(0).queued == 0U);
        }
    }

    driver m_driver;
    std::array<heard, 2> m_heard;
    std::vector<attempt> m_attempts;
};

} // namespace

// Guards against work for an endpoint against its notice, in any order of the list, answers,
// incarnations and time, and against work that waits beside an endpoint without a notice.
RC_GTEST_PROP(Notices, NoDispatchAgainstANotice, ())
{
    notice_checker checker;
    for (const auto &step : anySteps())
        checker.apply(step);
}

// Guards against new work for an endpoint that said in an answer that it leaves, and against a
// service without endpoints while its only one may still be used.
TEST(Notices, TheOnlyEndpointIsUsedInsideItsDrainTime)
{
    driver driver(makeDocument(1, 1, 0, 8));
    const auto first = driver.submit(makeSpec(0));
    driver.tick();
    driver.core.reportAnswer(first, leavingAnswer(), driver.now);
    EXPECT_EQ(driver.endpoint(0).state, endpoint_state::Leaving);
    EXPECT_EQ(driver.endpoint(0).leavingSource, "answer");
    driver.finish(first);
    const auto second = driver.submit(makeSpec(0));
    EXPECT_EQ(driver.tick(usableWhileLeaving - 1ms).size(), 1U);
    driver.finish(second);
    driver.submit(makeSpec(0));
    EXPECT_TRUE(driver.tick(1ms).empty());
    driver.core.reportEndpointState("engine-0", state_source::Platform, endpoint_state::Live, 2,
                                    driver.now);
    driver.core.reportEndpointState("engine-0", state_source::Platform, endpoint_state::Live, 3,
                                    driver.now);
    EXPECT_EQ(driver.tick().size(), 1U);
}

// Guards against an answer of an earlier incarnation that takes out the next one.
TEST(Notices, AnswersOfAnEarlierIncarnationChangeNothing)
{
    driver driver(makeDocument(1, 1, 0, 8));
    load_report report;
    report.incarnation = 1;
    driver.core.reportLoad(endpoint_id{0}, report, driver.now);
    const auto first = driver.submit(makeSpec(0));
    const auto second = driver.submit(makeSpec(0));
    driver.tick();
    report.incarnation = 2;
    driver.core.reportLoad(endpoint_id{0}, report, driver.now);
    driver.core.reportAnswer(first, leavingAnswer(), driver.now);
    driver.core.reportAnswer(second, refusalFor(10s), driver.now);
    EXPECT_EQ(driver.endpoint(0).state, endpoint_state::Live);
    EXPECT_EQ(driver.endpoint(0).heldOffFor, 0ms);
    driver.finish(first);
    driver.finish(second);
    driver.submit(makeSpec(0));
    EXPECT_EQ(driver.tick().size(), 1U);
}

// Guards against notices that are lost when the number of the incarnation becomes known, and
// against an endpoint without a number that stays out of use for good.
TEST(Notices, ANumberThatBecomesKnownIsNoNewIncarnation)
{
    driver driver(makeDocument(1, 1, 0, 8));
    const auto first = driver.submit(makeSpec(0));
    driver.tick();
    driver.core.reportAnswer(first, leavingAnswer(), driver.now);
    driver.core.reportEndpointState("engine-0", state_source::Platform, endpoint_state::Live, 7,
                                    driver.now);
    EXPECT_EQ(driver.endpoint(0).state, endpoint_state::Leaving);
    const auto begun = driver.core.takeNoticeEvents(driver.now);
    ASSERT_EQ(begun.size(), 1U);
    EXPECT_TRUE(begun.at(0).endpoint.starts_with("engine-0@"));
    EXPECT_TRUE(begun.at(0).endpoint.ends_with("#7"));
    driver.now += driver.core.noticeLimits().retention;
    EXPECT_EQ(driver.core.takeNoticeEvents(driver.now).size(), 1U);
    EXPECT_EQ(driver.endpoint(0).state, endpoint_state::Live);
}

// Guards against callers that wait for longer than their target, against a Retry-After before the
// end of the wait, and against callers that all return at once.
TEST(Notices, CallersAreTurnedAwayUntilTheEndOfALongWait)
{
    auto document = makeDocument(1, 1, 0, 8);
    document.classes.at(0).timeToFirstToken = 1000ms;
    driver driver(document);
    const auto refused = driver.submit(makeSpec(0));
    driver.tick();
    driver.core.reportAnswer(refused, refusalFor(20s), driver.now);
    EXPECT_TRUE(driver.finish(refused, attempt_outcome::Refused));
    const auto decisions = driver.tick();
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(decisions.at(0).kind, decision_kind::Expire);
    EXPECT_EQ(decisions.at(0).reason, decision_reason::EndpointsHeldOff);
    EXPECT_GE(decisions.at(0).retryAfter, 20s);
    auto spec = makeSpec(0);
    EXPECT_EQ(driver.refusal(spec), policy_error::EndpointsHeldOff);
    std::set<std::chrono::milliseconds> delays;
    for (int index = 0; index < 20; ++index) {
        spec.requestId = std::to_string(index);
        delays.insert(driver.core.retryAfter(spec, driver.now));
        EXPECT_GE(*delays.rbegin(), 20s);
        EXPECT_LT(*delays.rbegin(), 21s);
    }
    EXPECT_GT(delays.size(), 10U);
    driver.now += 19s + 500ms;
    EXPECT_NE(driver.submit(spec).value, 0U);
    EXPECT_TRUE(driver.tick().empty());
    EXPECT_EQ(driver.tick(500ms).size(), 1U);
}

// Guards against a herd at the end of a wait.
TEST(Notices, RequestsReturnOneAfterAnother)
{
    driver driver(makeDocument(1, 1, 0, 8));
    const auto refused = driver.submit(makeSpec(0));
    driver.tick();
    driver.core.reportAnswer(refused, refusalFor(1s), driver.now);
    driver.finish(refused, attempt_outcome::Refused);
    for (int index = 0; index < 5; ++index)
        driver.submit(makeSpec(0));
    EXPECT_TRUE(driver.tick(999ms).empty());
    const auto returned = driver.tick(10ms);
    ASSERT_EQ(returned.size(), 1U);
    EXPECT_EQ(returned.at(0).request, refused);
    EXPECT_TRUE(driver.tick(400ms).empty());
    driver.core.reportAnswer(refused, {}, driver.now);
    EXPECT_EQ(driver.tick().size(), 2U);
}

// Guards against requests that lose their time in the queue when an endpoint takes none of them,
// and against a refusal that counts as a fault of the endpoint.
TEST(Notices, RefusedAndWithdrawnRequestsKeepTheirTime)
{
    driver driver(makeDocument(1, 2, 0, 8));
    for (const auto outcome : {attempt_outcome::Refused, attempt_outcome::Withdrawn}) {
        auto spec = makeSpec(0);
        spec.requestId = outcome == attempt_outcome::Refused ? "refused" : "withdrawn";
        const auto id = driver.submit(spec);
        const auto first = driver.tick().at(0).endpoint;
        EXPECT_TRUE(driver.core.mayStillSend(id, driver.now));
        driver.core.reportAnswer(id, refusalFor(5s), driver.now);
        driver.now += 100ms;
        EXPECT_TRUE(driver.finish(id, outcome));
        const auto again = driver.tick();
        ASSERT_EQ(again.size(), 1U);
        EXPECT_NE(again.at(0).endpoint, first);
        EXPECT_EQ(driver.core.explain(spec.requestId)->steps.back().waited, 100ms);
        driver.core.reportAnswer(id, {}, driver.now);
        driver.finish(id);
        driver.now += 10s;
        driver.tick();
    }
    EXPECT_EQ(driver.core.dump().totals.ejected, 0U);
}

// Guards against a request that is sent on a decision from before the notice.
TEST(Notices, ANoticeWithdrawsDispatchedRequests)
{
    driver driver(makeDocument(1, 1, 0, 8));
    const auto first = driver.submit(makeSpec(0));
    const auto second = driver.submit(makeSpec(0));
    driver.tick();
    driver.core.reportAnswer(first, refusalFor(5s), driver.now);
    EXPECT_FALSE(driver.core.mayStillSend(second, driver.now));
    EXPECT_FALSE(driver.core.acceptsCalls("engine-0", driver.now));
    EXPECT_TRUE(driver.core.acceptsCalls("engine-0", driver.now + 5s));
}

// Guards against a probe of an ejected endpoint inside its wait.
TEST(Notices, NoProbeInsideAWait)
{
    driver driver(makeDocument(1, 4, 0, 4));
    std::optional<std::uint32_t> ejected;
    for (int round = 0; round < 200 && !ejected; ++round) {
        const auto id = driver.submit(makeSpec(0));
        const auto endpoint = driver.tick(10ms).at(0).endpoint.value;
        if (endpoint == 0 && driver.endpoint(0).inFlight == 1)
            driver.core.reportAnswer(id, refusalFor(0ms), driver.now);
        driver.finish(id, endpoint == 0 ? attempt_outcome::Failed : attempt_outcome::Completed);
        if (driver.endpoint(0).health == endpoint_health::Ejected)
            ejected = 0;
        driver.now += 600ms;
    }
    ASSERT_TRUE(ejected);
    driver.now += 60s;
    const auto probe = driver.submit(makeSpec(0));
    ASSERT_EQ(driver.tick().at(0).endpoint.value, 0U);
    driver.core.reportAnswer(probe, refusalFor(30s), driver.now);
    EXPECT_TRUE(driver.finish(probe, attempt_outcome::Refused));
    for (int second = 0; second < 29; ++second) {
        driver.submit(makeSpec(0));
        for (const auto &decision : driver.tick(1s)) {
            EXPECT_NE(decision.endpoint.value, 0U);
            driver.finish(decision.request);
        }
    }
}
