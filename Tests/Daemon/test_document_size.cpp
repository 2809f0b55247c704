#include "quetzalcleatd/document_size.h"

#include <gtest/gtest.h>

#include <string>

using namespace quetzalcleat::daemon;

namespace {

std::string repeated(std::string_view text, std::size_t count)
{
    std::string result;
    for (std::size_t number = 0; number < count; ++number)
        result += text;
    return result;
}

} // namespace

/// Guards against a body of legal size whose parsed values exceed the memory of the host.
TEST(document_size, ManyShortValuesAreTooMany)
{
    EXPECT_TRUE(hasTooManyValues('[' + repeated("{},", 1000) + "{}]", document_format::Json, 1000));
    EXPECT_TRUE(hasTooManyValues(repeated("a=[]\n", 501), document_format::Toml, 1000));
    EXPECT_TRUE(hasTooManyValues(repeated(R"("\"",)", 1001), document_format::Json, 1000));
}

/// Guards against the refusal of a long prompt, which is a single value.
TEST(document_size, TextInStringsIsOneValue)
{
    const auto prompt = repeated(R"(a, b: [c] \"d, e\" \\ )", 10'000);
    EXPECT_FALSE(hasTooManyValues(R"({"prompt": ")" + prompt + R"("})", document_format::Json, 10));
}
