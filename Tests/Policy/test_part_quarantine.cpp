#include "LibPolicy/crash_witness.h"
#include "LibPolicy/part_quarantine.h"

#include <algorithm>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace quetzalcleat::policy::test {

using namespace std::chrono_literals;

/// Reports of two hosts about engines that crash one after the other.
class part_quarantine_test : public testing::Test
{
protected:
    static constexpr part_id subject = 1;
    static constexpr part_id deadly = 2;
    static constexpr report_conditions conditions{2, 250ms};

    /// An engine crashes; each prompt was at it without an answer.
    void crash(const std::vector<std::vector<part_id>> &prompts)
    {
        const auto engine = "engine" + std::to_string(++m_engines);
        for (const auto &prompt : prompts)
            quarantine.recordSuspect("one", {engine, prompt, now});
        quarantine.recordLoss("two", engine, now);
    }

    void wait(std::chrono::milliseconds time)
    {
        // In steps as long as the intervals of reports.
        for (const auto end = now + time; now < end; now += 250ms)
            quarantine.update(conditions, now);
        quarantine.update(conditions, now);
    }

    std::vector<part_id> quarantined() const
    {
        std::vector<part_id> parts;
        for (const auto &entry : quarantine.quarantined(now))
            parts.push_back(entry.part);
        return parts;
    }

    quarantine_limits limits;
    part_quarantine quarantine{limits};
    core::instant now{1h};

private:
    int m_engines = 0;
};

using parts = std::vector<part_id>;

/// Guards against sound requests that are refused because they share a part with deadly ones.
TEST_F(part_quarantine_test, OnlyThePartThatNoEngineAnswersIsQuarantined)
{
    for (int count = 0; count < 3; ++count) {
        crash({{subject, deadly}});
        wait(1s);
        quarantine.recordAnswer(subject, now);
    }
    wait(2s);
    EXPECT_EQ(quarantined(), parts{deadly});
    EXPECT_TRUE(quarantine.inquiries().empty());
}

/// Guards against a tie: the subject was answered before the first crash only.
TEST_F(part_quarantine_test, PartThatWasAnsweredBeforeComesLast)
{
    // The later part in the prompt would otherwise come first.
    quarantine.recordAnswer(deadly, now);
    for (int count = 0; count < 3; ++count) {
        wait(1s);
        crash({{subject, deadly}});
    }
    wait(2s);
    EXPECT_EQ(quarantined(), parts{subject});
}

/// Guards against the choice of a part that many other requests share.
TEST_F(part_quarantine_test, LaterPartComesFirst)
{
    for (int count = 0; count < 3; ++count) {
        wait(1s);
        crash({{subject, deadly}});
    }
    wait(2s);
    EXPECT_EQ(quarantined(), parts{deadly});
}

/// Guards against requests that wait at an engine while another one crashes it, and against
/// crashes without a common part, as after a loss of power.
TEST_F(part_quarantine_test, PartsOfDifferentCrashesAreNotQuarantined)
{
    for (part_id part = 10; part < 110; part += 10) {
        crash({{subject + part, deadly + part}, {part, part + 1}});
        crash({{part}});
        wait(500ms);
    }
    wait(5s);
    EXPECT_TRUE(quarantined().empty());
}

/// Guards against a quarantine before the hosts were asked, and a question that comes too late.
TEST_F(part_quarantine_test, HostsAreAskedBefore)
{
    crash({{subject, deadly}});
    crash({{subject, deadly}});
    wait(0ms);
    EXPECT_EQ(quarantine.inquiries(), (parts{subject, deadly}));
    crash({{subject, deadly}});
    // Each host has reported once.
    wait(conditions.interval);
    EXPECT_TRUE(quarantined().empty());
    quarantine.recordAnswer(deadly, now);
    quarantine.recordAnswer(subject, now);
    wait(2s);
    EXPECT_TRUE(quarantined().empty());
}

/// Guards against inquiries for parts that no caller sends any more, in each answer to each host,
/// and against crashes that are too far apart to be connected.
TEST_F(part_quarantine_test, InquiriesEndAndCrashesFarApartCount)
{
    crash({{deadly}});
    wait(1s);
    EXPECT_TRUE(quarantine.inquiries().empty());
    crash({{deadly}});
    wait(1s);
    EXPECT_EQ(quarantine.inquiries(), parts{deadly});
    wait(limits.earlyInquiryTime);
    EXPECT_TRUE(quarantine.inquiries().empty());
    wait(1min);
    crash({{deadly}});
    wait(2s);
    EXPECT_EQ(quarantined(), parts{deadly});
}

/// Guards against a host that is cut off from all endpoints: to it, all of them seem to crash.
TEST_F(part_quarantine_test, LossesOfOneHostAreNoCrashes)
{
    for (int engine = 0; engine < 9; ++engine)
        quarantine.recordSuspect("one", {"engine" + std::to_string(engine), {deadly}, now});
    wait(5s);
    EXPECT_TRUE(quarantined().empty());
}

/// Guards against a table that never decides in a fleet of one host.
TEST_F(part_quarantine_test, SingleHostIsBelieved)
{
    for (int engine = 0; engine < 3; ++engine)
        quarantine.recordSuspect("one", {"engine" + std::to_string(engine), {deadly}, now});
    for (int step = 0; step < 10; ++step, now += 250ms)
        quarantine.update({1, 250ms}, now);
    EXPECT_EQ(quarantined(), parts{deadly});
}

/// Guards against reports of one crash that are counted as several.
TEST_F(part_quarantine_test, ReportsOfOneCrashCountOnce)
{
    for (int count = 0; count < 5; ++count, now += 300ms) {
        quarantine.recordSuspect("one", {"engine", {deadly}, now});
        quarantine.recordSuspect("two", {"engine", {deadly}, now});
    }
    wait(5s);
    EXPECT_TRUE(quarantined().empty());
}

/// Guards against an engine whose incarnations have the same name: each crash counts.
TEST_F(part_quarantine_test, CrashesOfOneEngineAtDifferentTimesCount)
{
    for (int count = 0; count < 3; ++count) {
        quarantine.recordSuspect("one", {"engine", {deadly}, now});
        quarantine.recordSuspect("two", {"engine", {deadly}, now});
        wait(4s);
    }
    EXPECT_EQ(quarantined(), parts{deadly});
}

/// Guards against a sound part that stays quarantined once a later crash shows the cause.
TEST_F(part_quarantine_test, PartQuarantinedInErrorIsReleased)
{
    constexpr part_id other = 9;
    // The deadly part comes first here, so the part after it is taken to be the cause.
    for (int count = 0; count < 3; ++count)
        crash({{deadly, other}});
    wait(2s);
    ASSERT_EQ(quarantined(), parts{other});
    crash({{deadly}});
    wait(2s);
    EXPECT_EQ(quarantined(), parts{deadly});
}

/// Guards against two deadly parts of which only one is found.
TEST_F(part_quarantine_test, SeveralPartsAreFound)
{
    constexpr part_id otherDeadly = 8;
    for (int count = 0; count < 3; ++count) {
        crash({{subject, deadly}});
        crash({{subject, otherDeadly}});
        wait(500ms);
        quarantine.recordAnswer(subject, now);
    }
    wait(2s);
    EXPECT_EQ(quarantined(), (parts{deadly, otherDeadly}));
}

/// Guards against a part that is answered and stays quarantined, and one that is never released.
TEST_F(part_quarantine_test, ReleaseByAnAnswerAndByTime)
{
    for (int count = 0; count < 3; ++count)
        crash({{deadly}});
    wait(2s);
    ASSERT_EQ(quarantined(), parts{deadly});
    now += limits.quarantineTime;
    wait(0ms);
    EXPECT_TRUE(quarantined().empty());
    // After a release, one more crash is enough, and the next quarantine is longer.
    crash({{deadly}});
    wait(2s);
    ASSERT_EQ(quarantined(), parts{deadly});
    now += limits.quarantineTime;
    wait(0ms);
    EXPECT_EQ(quarantined(), parts{deadly});
    quarantine.recordAnswer(deadly, now);
    wait(250ms);
    EXPECT_TRUE(quarantined().empty());
    crash({{deadly}});
    wait(2s);
    EXPECT_TRUE(quarantined().empty());
}

/// Guards against a new leader that forgets what was quarantined.
TEST_F(part_quarantine_test, QuarantineOfAnotherLeaderIsAdopted)
{
    quarantine.adopt({deadly, now + 1min, 0}, now);
    wait(10s);
    EXPECT_EQ(quarantined(), parts{deadly});
    now += 1min;
    wait(0ms);
    EXPECT_TRUE(quarantined().empty());
}

/// Guards against a sound part that is quarantined for good whatever the other crashes are: with
/// one deadly part, a part that is answered between any three of its crashes stays free, and the
/// deadly part is found.
RC_GTEST_PROP(part_quarantine, AnsweredPartsStayFree, ())
{
    part_quarantine quarantine;
    core::instant now{1h};
    constexpr part_id deadly = 100;
    constexpr part_id subjects = 5;
    const bool deadlyComesFirst = *rc::gen::arbitrary<bool>();
    const auto crashes = *rc::gen::container<std::vector<std::pair<part_id, int>>>(
        8, rc::gen::pair(rc::gen::inRange<part_id>(1, subjects), rc::gen::inRange(0, 4)));
    int engine = 0;
    for (const auto &[subject, waiting] : crashes) {
        const auto name = std::to_string(++engine);
        for (const char *host : {"one", "two"}) {
            std::vector<part_id> prompt{subject, deadly};
            if (deadlyComesFirst)
                std::swap(prompt[0], prompt[1]);
            quarantine.recordSuspect(host, {name, prompt, now});
            for (int other = 0; other < waiting; ++other)
                quarantine.recordSuspect(host, {name, {static_cast<part_id>(other + 1)}, now});
        }
        now += 300ms;
        quarantine.update({2, 250ms}, now);
        for (part_id part = 1; part < subjects; ++part)
            quarantine.recordAnswer(part, now);
        now += 2s;
        quarantine.update({2, 250ms}, now);
        for (const auto &entry : quarantine.quarantined(now))
            RC_ASSERT(entry.part == deadly);
    }
    RC_ASSERT(quarantine.quarantined(now).size() == 1U);
}

/// Guards against a part that is never suspected because it stands behind many others, or before
/// them (review/9): it is found wherever it stands in the longest prompts, while the others, which
/// sound requests share, stay free.
RC_GTEST_PROP(part_quarantine, PartIsFoundAmongManyOthers, ())
{
    constexpr std::size_t longest = 4096;
    constexpr part_id deadly = 1'000'000;
    constexpr report_conditions conditions{2, 250ms};
    const auto others = *rc::gen::inRange<std::size_t>(0, longest);
    const auto shared = *rc::gen::inRange<std::size_t>(0, others + 1);
    const auto depth = *rc::gen::inRange<std::size_t>(0, others + 1);
    part_quarantine quarantine;
    core::instant now{1h};
    part_id unique = shared;
    for (std::size_t crash = 0; crash < quarantine_limits().minimumCrashes; ++crash) {
        const auto engine = std::to_string(crash);
        std::vector<part_id> prompt;
        for (std::size_t index = 0; index < others; ++index)
            prompt.push_back(index < shared ? index + 1 : ++unique);
        prompt.insert(prompt.begin() + static_cast<std::ptrdiff_t>(depth), deadly);
        quarantine.recordSuspect("one", {engine, prompt, now});
        quarantine.recordLoss("two", engine, now);
        for (const auto end = now + 10s; now < end; now += conditions.interval) {
            quarantine.update(conditions, now);
            for (const auto part : quarantine.inquiries()) {
                if (part <= shared)
                    quarantine.recordAnswer(part, now);
            }
        }
    }
    const auto found = quarantine.quarantined(now);
    RC_ASSERT(found.size() == 1U);
    RC_ASSERT(found[0].part == deadly);
}

/// What one host has seen.
class crash_witness_test : public testing::Test
{
protected:
    std::vector<part_id> reported() const
    {
        std::vector<part_id> found;
        for (const auto &entry : witness.reports(100))
            found.insert(found.end(), entry.suspect.parts.begin(), entry.suspect.parts.end());
        return found;
    }

    crash_witness witness;
    core::instant now{1h};
};

/// Guards against a broken connection to an engine that still runs: it is no crash.
TEST_F(crash_witness_test, OnlyLossesAreReported)
{
    witness.recordBroken("engine", {1, 2}, now);
    EXPECT_TRUE(reported().empty());
    witness.recordLost("other", now);
    EXPECT_TRUE(reported().empty());
    witness.recordLost("engine", now + 1s);
    EXPECT_EQ(reported(), (parts{1, 2}));
    // The other connections to it break later.
    witness.recordBroken("engine", {3}, now + 2s);
    EXPECT_EQ(reported(), (parts{1, 2, 3}));
    witness.recordBroken("late", {4}, now);
    witness.recordLost("late", now + 1min);
    EXPECT_EQ(reported(), (parts{1, 2, 3}));
}

/// Guards against reports that are lost with a request, or that a new leader never gets.
TEST_F(crash_witness_test, ReportsAreRepeatedUntilAcknowledged)
{
    witness.recordBroken("engine", {1}, now);
    witness.recordBroken("engine", {2}, now);
    witness.recordLost("engine", now);
    witness.acknowledge(1);
    EXPECT_EQ(reported(), parts{2});
    witness.acknowledge(2);
    EXPECT_TRUE(reported().empty());
    witness.reportAgain();
    EXPECT_EQ(reported(), (parts{1, 2}));
}

/// Guards against inquiries that get no answer, and quarantined parts that are answered unnoticed.
TEST_F(crash_witness_test, AnswersInquiries)
{
    witness.recordAnswered({1, 2, 3}, now);
    EXPECT_TRUE(witness.answers().empty());
    witness.setInquiries({1, 7});
    witness.setQuarantined({{3, now + 1min, 0}});
    const auto answers = witness.answers();
    ASSERT_EQ(answers.size(), 2U);
    EXPECT_EQ(answers[0].part, 1U);
    EXPECT_EQ(answers[1].part, 3U);
}

/// Guards against a host that forgets all answers at once, so that sound parts seem to have none.
TEST_F(crash_witness_test, NewestAnswersAreKept)
{
    constexpr part_id answers = 100'000;
    for (part_id part = 1; part <= answers; ++part) {
        witness.recordAnswered({part}, now);
        now += 1ms;
        witness.setInquiries({part, part > 100 ? part - 100 : part});
        ASSERT_EQ(witness.answers().size(), 2U);
    }
}

/// Guards against a quarantine that outlasts its time on a host that hears of no leader.
TEST_F(crash_witness_test, QuarantineEnds)
{
    EXPECT_TRUE(witness.setQuarantined({{3, now + 1min, 0}}));
    EXPECT_FALSE(witness.setQuarantined({{3, now + 1min, 0}}));
    EXPECT_TRUE(witness.findQuarantined({1, 3}, now));
    EXPECT_FALSE(witness.findQuarantined({1, 2}, now));
    EXPECT_FALSE(witness.findQuarantined({1, 3}, now + 1min));
}

} // namespace quetzalcleat::policy::test
