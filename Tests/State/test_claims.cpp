#include "state_fixture.h"

#include <gtest/gtest.h>

using namespace quetzalcleat::state;
using namespace quetzalcleat::state::test;

// Guards against a non-repeatable call that is granted twice.
TEST(Claims, OneAttemptGetsTheKey)
{
    state_driver driver;
    EXPECT_EQ(driver.claim(begin(attempt("a"))), claim_verdict_kind::Granted);
    EXPECT_EQ(driver.claim(begin(attempt("b"))), claim_verdict_kind::InProgress);
    // The same proposal may be committed twice.
    EXPECT_EQ(driver.claim(begin(attempt("a"))), claim_verdict_kind::Granted);
    EXPECT_EQ(driver.claim(begin(attempt("c"), "other body")), claim_verdict_kind::BodyMismatch);
    EXPECT_EQ(driver.claim(begin(attempt("d", "key 2"))), claim_verdict_kind::Granted);
}

// Guards against a duplicate that gets another answer, or runs again after a snapshot.
TEST(Claims, FinishedAnswerIsKept)
{
    state_driver driver;
    driver.claim(begin(attempt("a")));
    EXPECT_EQ(driver.claim(finish(attempt("a"), "first")), claim_verdict_kind::Finished);
    EXPECT_EQ(driver.claim(finish(attempt("a"), "second")), claim_verdict_kind::Finished);
    driver.restart();
    const auto result = driver.apply(begin(attempt("b")));
    EXPECT_EQ(std::get<claim_verdict>(result.verdict).answer.body, "first");
    EXPECT_EQ(driver.apply(finish(attempt("b"))).error, state_error::NotOwner);
    EXPECT_EQ(driver.apply(finish(attempt("c", "other"))).error, state_error::UnknownClaim);
    EXPECT_EQ(driver.apply(claim_abandon{attempt("a")}).error, state_error::AlreadyFinished);
}

// Guards against a late claim_begin of an attempt that its owner abandoned.
TEST(Claims, AbandonedAttemptIsNeverGranted)
{
    state_driver driver;
    EXPECT_EQ(driver.claim(claim_abandon{attempt("late")}), claim_verdict_kind::AttemptAbandoned);
    driver.restart();
    EXPECT_EQ(driver.claim(begin(attempt("late"))), claim_verdict_kind::AttemptAbandoned);
    EXPECT_EQ(driver.claim(begin(attempt("a"))), claim_verdict_kind::Granted);
    EXPECT_EQ(driver.claim(claim_abandon{attempt("a")}), claim_verdict_kind::AttemptAbandoned);
    EXPECT_EQ(driver.claim(begin(attempt("b"))), claim_verdict_kind::Granted);
    EXPECT_EQ(driver.claim(begin(attempt("a"))), claim_verdict_kind::AttemptAbandoned);
}

// Guards against a call that runs after it was reported as not_run.
TEST(Claims, ClosedKeyIsNeverGranted)
{
    state_driver driver;
    EXPECT_EQ(driver.claim(claim_close{{"caller", "key"}}), claim_verdict_kind::Closed);
    driver.restart();
    EXPECT_EQ(driver.claim(begin(attempt("a"))), claim_verdict_kind::Closed);
    EXPECT_EQ(driver.apply(finish(attempt("a"))).error, state_error::NotOwner);
    driver.claim(claim_abandon{attempt("a")});
    EXPECT_EQ(driver.claim(begin(attempt("b"))), claim_verdict_kind::Closed);
}

// Guards against not_run for a call that may be running or has run.
TEST(Claims, OnlyAFreeKeyIsClosed)
{
    state_driver driver;
    driver.claim(begin(attempt("a")));
    EXPECT_EQ(driver.claim(claim_close{{"caller", "key"}}), claim_verdict_kind::InProgress);
    driver.claim(finish(attempt("a")));
    EXPECT_EQ(driver.claim(claim_close{{"caller", "key"}}), claim_verdict_kind::Finished);
}

// Guards against a call that runs a second time after its host was restarted.
TEST(Claims, NewIncarnationMakesRunningClaimsUnknown)
{
    state_driver driver;
    driver.claim(begin(attempt("a")));
    driver.restart();
    EXPECT_FALSE(driver.apply(host_register{"host", 2}).error);
    EXPECT_EQ(driver.claim(begin(attempt("b", "key", 2))), claim_verdict_kind::OutcomeUnknown);
    EXPECT_EQ(driver.claim(claim_close{{"caller", "key"}}), claim_verdict_kind::OutcomeUnknown);
    EXPECT_EQ(driver.apply(begin(attempt("c", "key 2", 1))).error, state_error::StaleIncarnation);
    EXPECT_EQ(driver.apply(host_register{"host", 1}).error, state_error::StaleIncarnation);
    // The owner may still report what it knows.
    EXPECT_EQ(driver.claim(finish(attempt("a"))), claim_verdict_kind::Finished);
}

// Guards against a claim that stays in progress for ever because its owner has failed.
TEST(Claims, RunningLimitMakesAClaimUnknown)
{
    state_driver driver;
    driver.claim(begin(attempt("a")));
    driver.time += table_limits::runningLimit;
    EXPECT_EQ(driver.claim(begin(attempt("b"))), claim_verdict_kind::OutcomeUnknown);
}

// Guards against tables that grow for ever, and against a wall clock that jumps back.
TEST(Claims, RetentionFollowsTheCommandTime)
{
    state_driver driver;
    driver.claim(begin(attempt("a")));
    driver.claim(finish(attempt("a"), "kept"));
    driver.time += hours(24);
    const auto late = driver.apply(begin(attempt("b")));
    EXPECT_TRUE(std::get<claim_verdict>(late.verdict).answer.truncated);
    driver.time -= hours(20);
    EXPECT_EQ(driver.claim(begin(attempt("c"))), claim_verdict_kind::Finished);
    driver.time += hours(20) + table_limits::claimRetention;
    driver.apply(host_register{"other", 1});
    EXPECT_EQ(driver.state.claimCount(), 0U);
}

// Guards against a kept answer that exceeds the ledger's limit.
TEST(Claims, LargeAnswersAreNotKept)
{
    state_driver driver;
    driver.claim(begin(attempt("a")));
    driver.claim(finish(attempt("a"), std::string(claim_ledger_limits().answerBytes + 1, 'x')));
    const auto *claim = driver.state.findClaim({"caller", "key"});
    ASSERT_NE(claim, nullptr);
    EXPECT_TRUE(claim->answer.truncated);
    EXPECT_TRUE(claim->answer.body.empty());
}
