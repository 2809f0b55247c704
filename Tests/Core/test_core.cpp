#include "LibCore/core_error.h"
#include "LibCore/counter_registry.h"
#include "LibCore/hash.h"
#include "LibCore/result.h"
#include "LibCore/text.h"

#include <gtest/gtest.h>

namespace core = quetzalcleat::core;

// Guards against a hash other than the standard one (FIPS 180-4, example "abc"): token hashes in an
// inventory would not match.
TEST(Hash, Sha256MatchesTheStandard)
{
    EXPECT_EQ(core::sha256Hex("abc"),
              "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

// Guards against a prefix of a secret being accepted as the secret.
TEST(Hash, ComparisonOfSecretsRejectsPrefixes)
{
    EXPECT_TRUE(core::equalInConstantTime("secret", "secret"));
    EXPECT_FALSE(core::equalInConstantTime("secret", "secre"));
    EXPECT_FALSE(core::equalInConstantTime("secret", "secreT"));
}

// Guards against metric lines that a Prometheus server cannot parse.
TEST(CounterRegistry, WritesExpositionFormat)
{
    core::counter_registry registry;
    ++registry.counter("requests_total", "class=\"booking\"");
    registry.gauge("queue_length") = 2;
    EXPECT_EQ(registry.text(),
              "# TYPE requests_total counter\nrequests_total{class=\"booking\"} 1\n"
              "# TYPE queue_length gauge\nqueue_length 2\n");
}

// Guards against lengths of messages that hosts and endpoints read differently.
TEST(Text, ParsesOnlyWholeNumbers)
{
    EXPECT_EQ(core::parseNumber("0"), 0U);
    EXPECT_EQ(core::parseNumber("18446744073709551615"), 18446744073709551615U);
    for (const auto *text : {"", "+5", "-5", " 5", "5 ", "5,5", "0x5", "18446744073709551616"})
        EXPECT_FALSE(core::parseNumber(text)) << text;
}

// Guards against a field that is not found for the case of its name.
TEST(Text, ComparesWithoutCase)
{
    EXPECT_TRUE(core::equalsIgnoringCase("Content-Length", "content-LENGTH"));
    EXPECT_FALSE(core::equalsIgnoringCase("Content-Length", "Content-Lengt"));
    EXPECT_FALSE(core::equalsIgnoringCase("a_b", "a-b"));
}

// Guards against a field value or a list element that keeps or loses more than its outer blanks.
TEST(Text, TrimsOnlySpacesAndTabsAtTheEnds)
{
    EXPECT_EQ(core::withoutBlanks(" \tclose, \tkeep-alive\t "), "close, \tkeep-alive");
    EXPECT_EQ(core::withoutBlanks("\v0\r"), "\v0\r");
    EXPECT_EQ(core::withoutBlanks(" \t "), "");
    EXPECT_EQ(core::withoutBlanks(""), "");
}

// Guards against a result that loses its error.
TEST(Result, CarriesErrors)
{
    const core::result<int> failed = core::core_error::UnknownKey;
    EXPECT_FALSE(failed);
    EXPECT_EQ(failed.error(), core::core_error::UnknownKey);
    EXPECT_FALSE(core::result<int>(4).error());
}
