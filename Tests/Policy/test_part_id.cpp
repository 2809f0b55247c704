#include "LibPolicy/part_id.h"

#include <algorithm>
#include <cctype>
#include <string>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace quetzalcleat::policy::test {

namespace {

/// Up to 512 bits.
std::string digits(std::size_t minimum)
{
    constexpr std::size_t longest = 128;
    return *rc::gen::container<std::string>(*rc::gen::inRange<std::size_t>(minimum, longest + 1),
                                            rc::gen::elementOf(std::string("0123456789abcdef")));
}

std::string upperCased(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::toupper(c)); });
    return text;
}

} // namespace

/// Guards against ids that are taken for the same part, or for none, because they are longer than
/// 64 bits or share their beginning or their end (review/8).
RC_GTEST_PROP(part_id, DifferentIdsOfAnyLengthStayDifferent, ())
{
    const auto begin = digits(0);
    const auto end = digits(0);
    const auto one = digits(0);
    const auto other = digits(0);
    RC_PRE(one != other);
    const auto first = begin + one + end;
    const auto second = begin + other + end;
    RC_PRE(!first.empty() && !second.empty());
    RC_ASSERT(parsePartId(first) != parsePartId(second));
    RC_ASSERT(parsePartId(first) != 0U);
    RC_ASSERT(parsePartId(second) != 0U);
}

/// Guards against one part that is taken for two, as its id is written in another way.
RC_GTEST_PROP(part_id, CaseAndBlanksMakeNoDifference, ())
{
    const auto text = digits(1);
    RC_ASSERT(parsePartId(upperCased(text)) == parsePartId(text));
    RC_ASSERT(parsePartId(" " + text + "\t") == parsePartId(text));
}

/// Guards against log entries that cannot be compared with requests.
RC_GTEST_PROP(part_id, ShortIdsAreKept, ())
{
    const auto id = *rc::gen::distinctFrom(rc::gen::arbitrary<part_id>(), part_id{0});
    RC_ASSERT(parsePartId(toText(id)) == id);
}

/// Guards against parts without an id that are taken for the same part.
TEST(part_id, EmptyTextNamesNoPart)
{
    EXPECT_EQ(parsePartId(""), 0U);
    EXPECT_EQ(parsePartId(" "), 0U);
    EXPECT_NE(parsePartId("0"), 0U);
    EXPECT_NE(parsePartId("not hexadecimal"), parsePartId("not either"));
}

} // namespace quetzalcleat::policy::test
