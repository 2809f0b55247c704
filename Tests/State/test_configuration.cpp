#include "state_fixture.h"

#include <gtest/gtest.h>

using namespace quetzalcleat::state;
using namespace quetzalcleat::state::test;

// Guards against two accepted edits of one revision, and against a lost or reverted one.
TEST(Configuration, OneOfTwoRacingEditsIsAccepted)
{
    state_driver driver;
    const auto first = driver.edited({"edit-1", 0, "document 1", "one"});
    const auto second = driver.edited({"edit-2", 0, "document 2", "two"});
    EXPECT_EQ(first, (edit_verdict{edit_verdict_kind::Accepted, 1}));
    EXPECT_EQ(second, (edit_verdict{edit_verdict_kind::Conflict, 1}));
    EXPECT_EQ(driver.state.currentConfiguration().document, "document 1");
}

// Guards against a resend that is applied again or gets another verdict, also after a snapshot.
TEST(Configuration, ResendGetsTheFirstVerdict)
{
    state_driver driver;
    const edit accepted{"edit-1", 0, "document 1", "one"};
    const edit conflicting{"edit-2", 0, "document 2", "two"};
    driver.edited(accepted);
    driver.edited(conflicting);
    driver.edited({"edit-3", 1, "document 3", "one"});
    driver.restart();
    driver.time += hours(24);
    EXPECT_EQ(driver.edited(accepted), (edit_verdict{edit_verdict_kind::Accepted, 1}));
    EXPECT_EQ(driver.edited(conflicting), (edit_verdict{edit_verdict_kind::Conflict, 1}));
    EXPECT_EQ(driver.edited({"edit-1", 0, "changed", "one"}),
              (edit_verdict{edit_verdict_kind::EditIdReused, 2}));
    EXPECT_EQ(driver.edited({"edit-1", 2, "document 1", "one"}).kind,
              edit_verdict_kind::EditIdReused);
    EXPECT_EQ(driver.state.currentConfiguration().revision, 2U);
}

// Guards against a table of edit ids that grows for ever or refuses edits at the planned rate.
TEST(Configuration, EditIdsExpire)
{
    state_driver driver;
    for (int i = 0; i < 5000; ++i) {
        driver.time += std::chrono::seconds(72); // 1,200 edits a day
        const auto id = "edit-" + std::to_string(i);
        const auto base = driver.state.currentConfiguration().revision;
        ASSERT_EQ(driver.edited({id, base, "document", "one"}).kind, edit_verdict_kind::Accepted);
    }
    EXPECT_EQ(driver.state.findEdit("edit-0"), nullptr);
    EXPECT_NE(driver.state.findEdit("edit-3800"), nullptr);
    EXPECT_EQ(driver.state.currentConfiguration().revision, 5000U);
}

// Guards against replicas that keep answers under different limits.
TEST(Configuration, EditSetsTheLedgerLimits)
{
    state_driver driver;
    const claim_ledger_limits limits{10, hours(1)};
    driver.apply(apply_edit{{"edit-1", 0, "document", "one"}, limits});
    driver.apply(apply_edit{{"edit-2", 0, "document", "two"}, claim_ledger_limits{}});
    EXPECT_EQ(driver.state.limits(), limits);
    driver.restart();
    EXPECT_EQ(driver.state.limits(), limits);
}
