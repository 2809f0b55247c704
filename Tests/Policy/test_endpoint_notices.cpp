#include "LibPolicy/endpoint_notices.h"

#include <algorithm>
#include <array>
#include <map>
#include <utility>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace quetzalcleat;
using namespace quetzalcleat::policy;
using namespace std::chrono_literals;

namespace {

constexpr core::instant start{std::chrono::hours(1)};

struct step
{
    enum class action { Leave, Wait, Write, Answer, Lose };
    action what = action::Leave;
    std::size_t endpoint = 0;
    notice_source source = notice_source::EndpointList;
    std::chrono::milliseconds wait{0};
    std::chrono::milliseconds pause{0}; ///< Before it.
};

std::vector<step> anySteps()
{
    const auto one = rc::gen::apply(
        [](int what, std::size_t endpoint, int source, int wait, int pause) {
            return step{static_cast<step::action>(what), endpoint,
                        static_cast<notice_source>(source), std::chrono::milliseconds(wait),
                        std::chrono::milliseconds(pause)};
        },
        rc::gen::inRange(0, 5), rc::gen::inRange<std::size_t>(0, 3), rc::gen::inRange(0, 5),
        rc::gen::inRange(0, 3000), rc::gen::element(0, 0, 0, 1, 50, 400, 900));
    return *rc::gen::container<std::vector<step>>(one);
}

const std::array<std::string, 3> names{"a-1", "a-2", "b-1"};

/// What each endpoint said, kept without any of the rules.
struct heard
{
    std::vector<std::pair<core::instant, notice_source>> leaves;
    std::vector<std::pair<core::instant, core::instant>> waits; ///< Time and end.
    std::vector<core::instant> writes;
    std::vector<std::pair<core::instant, written_request>> open;
};

leaving_notice notice(core::instant since, notice_source source = notice_source::OwnAnswer)
{
    return {since, source, "r"};
}

} // namespace

// Guards against a request written to an endpoint past its drain time or inside a wait, against a
// later notice that lifts an earlier one, and against a notice that counts for another incarnation.
RC_GTEST_PROP(endpoint_notices, NoRequestIsWrittenAgainstANotice, ())
{
    endpoint_notices notices;
    const auto &limits = notices.limits();
    std::map<std::string, heard> all;
    auto now = start;
    for (const auto &step : anySteps()) {
        now += step.pause;
        const auto &name = names.at(step.endpoint);
        auto &own = all[name];
        switch (step.what) {
        case step::action::Leave:
            RC_ASSERT(notices.reportLeaving(name, notice(now, step.source), now)
                      == own.leaves.empty());
            own.leaves.emplace_back(now, step.source);
            break;
        case step::action::Wait:
            notices.reportWait(name, step.wait, "r", now);
            own.waits.emplace_back(now, now + step.wait);
            break;
        case step::action::Write: {
            const auto written = notices.tryWrite(name, now);
            const bool isPastDrain = !own.leaves.empty()
                && (own.leaves.front().second == notice_source::EndpointList
                    || now >= own.leaves.front().first + limits.drainTime - limits.drainMargin);
            const bool hasEnded
                = std::any_of(own.leaves.begin(), own.leaves.end(), [](const auto &leave) {
                      return leave.second == notice_source::OtherIncarnation;
                  });
            const bool isInsideWait
                = std::any_of(own.waits.begin(), own.waits.end(),
                              [&](const auto &wait) { return wait.second > now; });
            if (isPastDrain || hasEnded || isInsideWait)
                RC_ASSERT(!written);
            else if (own.waits.empty())
                RC_ASSERT(written.has_value());
            if (written)
                own.open.emplace_back(now, *written);
            break;
        }
        case step::action::Answer:
        case step::action::Lose:
            if (own.open.empty())
                break;
            if (step.what == step::action::Answer)
                notices.recordAnswer(name, own.open.back().second);
            else
                notices.recordLoss(name, own.open.back().second);
            own.open.pop_back();
            break;
        }
        for (const auto &[other, said] : all) {
            RC_ASSERT(notices.isLeaving(other) == !said.leaves.empty());
            if (!said.leaves.empty())
                RC_ASSERT(notices.leaving(other)->source == said.leaves.front().second);
        }
    }
}

// Guards against callers that all return at the end of a wait: before the first answer, requests
// follow one after another in the return interval.
RC_GTEST_PROP(endpoint_notices, RequestsReturnOneAfterAnother, ())
{
    endpoint_notices notices;
    const auto interval = notices.limits().returnInterval;
    notices.reportWait("a", 1000ms, "r", start);
    auto now = start;
    std::vector<core::instant> writes;
    for (const auto pause : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 200))) {
        now += std::chrono::milliseconds(pause);
        notices.takeEndedWaits(now);
        if (notices.use("a", now) == endpoint_use::HeldOff)
            RC_ASSERT(notices.nextUse("a", now) > now);
        if (notices.tryWrite("a", now)) {
            RC_ASSERT(now >= start + 1000ms);
            if (!writes.empty())
                RC_ASSERT(now - writes.back() >= interval);
            writes.push_back(now);
        }
    }
}

// Guards against an endpoint that accepts requests again but is kept nearly unused, and against
// answers to requests before the wait that count as its acceptance.
TEST(endpoint_notices, AnswersAfterAWaitLetMoreRequestsReturn)
{
    endpoint_notices notices;
    notices.reportWait("a", 0ms, "r", start);
    const auto before = notices.tryWrite("a", start);
    notices.reportWait("a", 1000ms, "r", start);
    const auto end = start + 1000ms;
    notices.recordAnswer("a", *before);
    std::vector<written_request> open{*notices.tryWrite("a", end)};
    EXPECT_FALSE(notices.tryWrite("a", end));
    EXPECT_EQ(notices.takeEndedWaits(end).size(), 1U);
    EXPECT_TRUE(notices.takeEndedWaits(end).empty());
    std::size_t rounds = 0;
    while (open.size() <= notices.limits().returnedRequests && rounds < 10) {
        for (const auto &written : std::exchange(open, {}))
            notices.recordAnswer("a", written);
        while (open.size() <= notices.limits().returnedRequests) {
            const auto written = notices.tryWrite("a", end);
            if (!written)
                break;
            open.push_back(*written);
        }
        ++rounds;
    }
    EXPECT_EQ(rounds, 4U);
}

// Guards against an answer with both signals of which only one counts.
TEST(endpoint_notices, AWaitOfALeavingEndpointHolds)
{
    endpoint_notices notices;
    notices.reportLeaving("a", notice(start), start);
    notices.reportWait("a", 1000ms, "r", start);
    EXPECT_EQ(notices.use("a", start), endpoint_use::HeldOff);
    EXPECT_EQ(notices.use("a", start + 1000ms), endpoint_use::LastResort);
    EXPECT_EQ(notices.use("a", start + 3500ms), endpoint_use::Gone);
}

// Guards against a drain time that begins anew with a list that shows the notice late.
TEST(endpoint_notices, ALateNoticeCountsFromItsStart)
{
    endpoint_notices notices;
    notices.reportLeaving("a", notice(start - 3000ms), start);
    EXPECT_EQ(notices.use("a", start + 499ms), endpoint_use::LastResort);
    EXPECT_EQ(notices.use("a", start + 500ms), endpoint_use::Gone);
    notices.reportLeaving("b", notice(start), start);
    notices.reportLeaving("b", notice(start - 3000ms, notice_source::EndpointList), start);
    EXPECT_EQ(notices.use("b", start + 500ms), endpoint_use::Gone);
    EXPECT_EQ(notices.leaving("b")->source, notice_source::OwnAnswer);
}

// Guards against a value of Retry-After that takes an endpoint out for good or fails to be read.
TEST(endpoint_notices, RetryAfterIsReadWithinBounds)
{
    const notice_limits limits;
    const auto expectRead
        = [&](std::string_view text, std::chrono::milliseconds length, wait_reading reading) {
              const auto wait = readRetryAfter(text, limits);
              EXPECT_EQ(wait.length, length) << text;
              EXPECT_EQ(wait.reading, reading) << text;
          };
    expectRead("2", 2000ms, wait_reading::Exact);
    expectRead(" 0.25 ", 250ms, wait_reading::Exact);
    expectRead("0.0001", 1ms, wait_reading::Exact);
    expectRead("0", 0ms, wait_reading::Exact);
    expectRead("-3", limits.unreadableWait, wait_reading::Negative);
    expectRead("60.5", limits.longestWait, wait_reading::TooLong);
    expectRead(std::string(400, '9'), limits.longestWait, wait_reading::TooLong);
    for (const auto *text :
         {"", "soon", "nan", "inf", "1e3", "2 s", "0x10", "--1", "Fri, 04 Dec 2026 22:00:00 GMT"})
        expectRead(text, limits.unreadableWait, wait_reading::Unreadable);
}

// Guards against memory that grows with each incarnation, and against a list that lags and brings
// back an endpoint whose notice was forgotten too early.
TEST(endpoint_notices, UnknownIncarnationsAreForgotten)
{
    notice_limits limits;
    limits.maximumRecords = 16;
    endpoint_notices notices(limits);
    const auto isKnown = [](const std::string &name) { return name == "known"; };
    notices.reportLeaving("known", notice(start), start);
    notices.reportLeaving("gone", notice(start), start);
    EXPECT_TRUE(notices.forgetUnknown(isKnown, start + limits.retention - 1ms).empty());
    const auto ended = notices.forgetUnknown(isKnown, start + limits.retention);
    ASSERT_EQ(ended.size(), 1U);
    EXPECT_EQ(ended.front().incarnation, "gone");
    EXPECT_TRUE(notices.isLeaving("known"));
    for (int index = 0; index < 100; ++index) {
        notices.reportWait("n" + std::to_string(index), 1000ms, std::string(1000, 'r'), start);
        ASSERT_LE(notices.size(), limits.maximumRecords);
        ASSERT_EQ(notices.use("n" + std::to_string(index), start), endpoint_use::HeldOff);
    }
    EXPECT_EQ(notices.wait("n99", start)->request.size(), endpoint_notices::maximumRequestIdLength);
}

// Guards against an endpoint that stays out of use after it has started again under the identity
// that it had, and against lists of several readers, each of which lags and skips its entry now and
// then, that bring it back before.
RC_GTEST_PROP(endpoint_notices, LaterStartUnderTheSameIdentityBeginsClean, ())
{
    constexpr int readers = 3;
    endpoint_notices notices;
    const auto limits = notices.limits();
    const auto anyTime = [](std::chrono::milliseconds longest) {
        return std::chrono::milliseconds(*rc::gen::inRange(0, static_cast<int>(longest.count())));
    };
    const auto leaves = start + anyTime(5000ms);
    const auto listedAsLeaving = leaves + anyTime(1000ms);
    const auto ends = std::max(listedAsLeaving, leaves + limits.drainTime) + anyTime(9000ms);
    const auto starts = ends + anyTime(9000ms);
    const auto isListed = [&](core::instant at) { return at < listedAsLeaving || at >= starts; };
    bool hasLeft = false;
    bool hasReturned = false;
    const auto last = starts + 3 * limits.listAge;
    std::array<core::instant, readers> shown;
    shown.fill(start);
    for (auto now = start; now < last; now += 100ms) {
        if (now >= leaves && !std::exchange(hasLeft, true)) {
            notices.reportLeaving("a", notice(now), now);
            notices.reportWait("a", limits.longestWait, "r", now);
        }
        // Readers take turns at random; none shows an older state than it has shown before.
        auto &state = shown.at(*rc::gen::inRange<std::size_t>(0, readers));
        state = std::max(state, now - anyTime(limits.listAge));
        const bool isRecent = *rc::gen::inRange(0, 4) != 0;
        // A list that is not recent can show anything.
        const bool isStaying = isRecent ? isListed(state) : *rc::gen::arbitrary<bool>();
        const auto started
            = notices.reportList([&](const std::string &) { return isStaying; }, isRecent, now);
        RC_ASSERT(started.empty() || (now >= starts && !hasReturned));
        hasReturned = hasReturned || !started.empty();
        RC_ASSERT(notices.isLeaving("a") == (hasLeft && !hasReturned));
        if (hasReturned)
            RC_ASSERT(notices.use("a", now) == endpoint_use::Free);
    }
    for (auto now = last; now <= last + limits.listAge + 100ms; now += 100ms)
        (void)notices.reportList([](const std::string &) { return true; }, true, now);
    RC_ASSERT(!notices.isLeaving("a"));
}

// Guards against a request that is written after a notice which arrived while its connection was
// opened, and against one that never finds a place at the only endpoint.
TEST(endpoint_notices, ANoticeWithdrawsPlacedRequests)
{
    endpoint_notices notices;
    const auto first = *notices.tryWrite("a", start);
    const auto second = *notices.tryWrite("b", start);
    EXPECT_TRUE(notices.mayStillWrite("a", first, start));
    notices.reportLeaving("a", notice(start), start);
    notices.reportWait("b", 100ms, "r", start);
    EXPECT_FALSE(notices.mayStillWrite("a", first, start));
    const auto again = *notices.tryWrite("a", start);
    EXPECT_TRUE(notices.mayStillWrite("a", again, start + 3499ms));
    EXPECT_FALSE(notices.mayStillWrite("a", again, start + 3500ms));
    EXPECT_FALSE(notices.mayStillWrite("b", second, start + 100ms));
}
