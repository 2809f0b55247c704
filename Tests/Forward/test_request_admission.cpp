#include "LibForward/placement.h"
#include "LibForward/request_admission.h"

#include <string>

#include <gtest/gtest.h>

namespace quetzalcleat::forward::test {

namespace {

prompt_size sizeOf(const std::string &parts)
{
    const wire_names names;
    http_head head;
    head.headers = {{names.promptSize, "300,20"}, {names.promptParts, parts}};
    return request_admission(head, names).promptSize().value();
}

// As those of a 128-bit hash.
const std::string longId = "00112233445566778899aabbccddeeff";
const std::string sameBegin = "00112233445566778899aabbccddee00";
const std::string sameEnd = "ff112233445566778899aabbccddeeff";

} // namespace

/// Guards against ids of more than 16 digits that are read as no id (review/8).
TEST(request_admission, LongIdsOfPartsStayDifferent)
{
    const auto size = sizeOf(longId + ":100," + sameBegin + ":10," + sameEnd + ":20").size;
    ASSERT_EQ(size.parts.size(), 3U);
    EXPECT_NE(size.parts[0].id, 0U);
    EXPECT_NE(size.parts[0].id, size.parts[1].id);
    EXPECT_NE(size.parts[0].id, size.parts[2].id);
    EXPECT_NE(size.parts[1].id, size.parts[2].id);
    EXPECT_EQ(size.parts[1].tokens, 10U);
}

/// Guards against prompts that are taken to share a part because their ids are read as the same.
TEST(request_admission, SharedPartsAreToldApartByLongIds)
{
    const auto one = sizeOf(longId + ":100,1:20").sharedParts;
    EXPECT_NE(one, 0U);
    EXPECT_EQ(sizeOf(longId + ":100,2:20").sharedParts, one);
    EXPECT_NE(sizeOf(sameBegin + ":100,1:20").sharedParts, one);
    EXPECT_NE(sizeOf(sameEnd + ":100,1:20").sharedParts, one);
}

/// Guards against a placement by parts that an engine does not hold.
TEST(request_admission, CachedPartsAreToldApartByLongIds)
{
    constexpr core::instant now{std::chrono::hours(1)};
    endpoint engine;
    for (const auto &part : sizeOf(longId + ":100,:30,1:20").size.parts)
        engine.partSentTimes.record(part.id, now);
    const auto uncached = [&](const std::string &parts) {
        return uncachedTokens(engine, sizeOf(parts).size, {}, now);
    };
    EXPECT_EQ(uncached(longId + ":100,2:20"), 200U);
    EXPECT_EQ(uncached(sameBegin + ":100,2:20"), 300U);
    EXPECT_EQ(uncached(":100,2:20"), 300U);
}

} // namespace quetzalcleat::forward::test
