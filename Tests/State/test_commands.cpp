#include "state_fixture.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace quetzalcleat::state;
using namespace quetzalcleat::state::test;

namespace {

std::vector<command> examples()
{
    const quetzalcleat::core::wall_time time{hours(24)};
    return {{time, apply_edit{{"id", 3, "document", "author"}, std::nullopt}},
            {time, apply_edit{{"id", 3, "document", "author"}, claim_ledger_limits{}}},
            {time, begin(attempt("a"))},
            {time, finish(attempt("a"))},
            {time, claim_abandon{attempt("a")}},
            {time, claim_close{{"caller", "key"}}},
            {time, host_register{"host", 5}},
            {time, control_lease_acquire{"host", 5, milliseconds(1000)}},
            {time, order_begin{7, "order", "load_model", "engine", "model"}},
            {time, order_finish{7, "order", order_state::Undone}},
            {time, member_contact{9, "host", "127.0.0.1:1", "dc"}}};
}

std::vector<std::byte> bytesOf(std::initializer_list<int> values)
{
    std::vector<std::byte> bytes;
    for (const auto value : values)
        bytes.push_back(static_cast<std::byte>(value));
    return bytes;
}

} // namespace

// Guards against fields that are lost or mixed up in the log, and against truncated commands.
TEST(Commands, SurviveEncodingAndRefuseTruncation)
{
    for (const auto &value : examples()) {
        const auto bytes = encodeCommand(value);
        const auto decoded = decodeCommand(bytes);
        ASSERT_TRUE(decoded) << value.body.index();
        EXPECT_EQ(encodeCommand(decoded.value()), bytes);
        for (std::size_t size = 0; size < bytes.size(); ++size)
            EXPECT_FALSE(decodeCommand(std::span(bytes).first(size)));
    }
}

// Guards against memory that is allocated for a stated length beyond the end of the input.
TEST(Commands, RefuseHugeLengths)
{
    EXPECT_EQ(decodeCommand(bytesOf({0xdd, 0xff, 0xff, 0xff, 0xff})).error(),
              state_error::MalformedCommand);
    EXPECT_EQ(decodeCommand(bytesOf({0x94, 1, 1, 0, 0xdb, 0xff, 0xff, 0xff, 0xff})).error(),
              state_error::MalformedCommand);
    const std::vector<std::byte> nested(1000, std::byte{0x91});
    EXPECT_EQ(decodeCommand(nested).error(), state_error::MalformedCommand);
    EXPECT_EQ(decodeCommand(std::vector<std::byte>(maximumEncodedCommandBytes + 1)).error(),
              state_error::CommandTooLarge);
}

// Guards against a replica that skips what a newer version would apply.
TEST(Commands, NewerVersionStopsTheReplica)
{
    auto bytes = encodeCommand(examples().front());
    bytes[1] = std::byte{2};
    state_driver driver;
    EXPECT_EQ(driver.state.applyEncoded(5, bytes).error, state_error::UnsupportedVersion);
    EXPECT_EQ(driver.state.appliedIndex(), 0U);
    EXPECT_EQ(driver.state.applyEncoded(5, bytesOf({1})).error, state_error::MalformedCommand);
    EXPECT_EQ(driver.state.appliedIndex(), 5U);
    EXPECT_EQ(driver.state.apply(5, examples().front()).error, state_error::OutOfOrder);
}

// Guards against required fields that are empty and fields of unlimited length.
TEST(Commands, RefuseEmptyAndLongFields)
{
    const quetzalcleat::core::wall_time time{hours(24)};
    EXPECT_EQ(checkCommand({time, claim_close{{"caller", ""}}}).error(), state_error::FieldMissing);
    const std::string longKey(maximumKeyBytes + 1, 'k');
    EXPECT_EQ(checkCommand({time, claim_close{{"caller", longKey}}}).error(),
              state_error::FieldTooLong);
    EXPECT_FALSE(checkCommand({time - hours(48), host_register{"host", 1}}));
}

// Guards against a damaged command or snapshot that crashes a replica.
RC_GTEST_PROP(Commands, DamagedBytesCauseNoCrash, ())
{
    const auto damage = [](std::vector<std::byte> bytes) {
        const auto changes = *rc::gen::inRange(1, 6);
        for (int i = 0; i < changes; ++i)
            bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())]
                = static_cast<std::byte>(*rc::gen::inRange(0, 256));
        return bytes;
    };
    state_driver driver;
    for (const auto &value : examples())
        driver.apply(value.body);
    const auto all = examples();
    const auto &chosen = all[*rc::gen::inRange<std::size_t>(0, all.size())];
    driver.state.applyEncoded(++driver.index, damage(encodeCommand(chosen)));
    auto restored = replicated_state::restore(damage(driver.state.snapshot()));
    if (restored)
        restored.value().apply(~std::uint64_t{0}, all[2]);
}
