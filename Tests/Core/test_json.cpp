#include "LibCore/json.h"

#include <string>

#include <gtest/gtest.h>

namespace quetzalcleat::core::test {

namespace {

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

} // namespace

/// Guards against a document whose nesting takes many times the memory of its text.
TEST(json, DeepDocumentIsDiscarded)
{
    EXPECT_FALSE(parseJson(nested(maximumJsonDepth)).is_discarded());
    EXPECT_TRUE(parseJson(nested(maximumJsonDepth + 1)).is_discarded());
    EXPECT_TRUE(parseJson(std::string(1'000'000, '[')).is_discarded());
    EXPECT_TRUE(parseJson("{\"a\":" + nested(maximumJsonDepth) + "}").is_discarded());
}

/// Guards against brackets in strings that count as nesting.
TEST(json, StringsAreNotNested)
{
    EXPECT_EQ(jsonDepth(R"({"a":"[[[[\"[[[","b":["}\\",{}]})"), 3U);
    EXPECT_EQ(jsonDepth("]]]{"), 1U);
    EXPECT_EQ(jsonDepth(""), 0U);
    EXPECT_EQ(parseJson("\"" + std::string(1000, '[') + "\"").get<std::string>().size(), 1000U);
}

} // namespace quetzalcleat::core::test
