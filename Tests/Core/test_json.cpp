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

/// Guards against a document of very many short values, which take many times the memory of its
/// text.
TEST(json, DocumentOfVeryManyValuesIsDiscarded)
{
    const auto listOf = [](std::size_t values) {
        std::string text = "[1";
        for (std::size_t index = 1; index < values; ++index)
            text += ",1";
        return text + "]";
    };
    EXPECT_FALSE(parseJson(listOf(maximumJsonValues - 2)).is_discarded());
    EXPECT_TRUE(parseJson(listOf(maximumJsonValues)).is_discarded());
    EXPECT_GE(jsonValues(R"({"a":{},"b":[1,"x,y"]})"), 5U);
    EXPECT_LT(jsonValues("\"" + std::string(1000, ',') + "\""), 3U);
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
