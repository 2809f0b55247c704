#include "LibCore/core_error.h"
#include "LibCore/settings.h"

#include <algorithm>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace core = quetzalcleat::core;
using core::core_error;

namespace {

// Line 1 starts right after the opening parenthesis.
const std::string validSettings = R"(cluster_name = "spennuvir"
host_name = "reykjavik-a-1"
data_centre = "reykjavik-a"
region = "reykjavik"
roles = ["entry", "control"]
caller_address = "127.0.0.1:18101"
operator_address = "127.0.0.1:18201"
peer_address = "127.0.0.1:18301"
data_folder = "/var/lib/quetzalcleat"
peer_keys = ["0123456789abcdef", "fedcba9876543210"]
operator_key = "operator-key-0123"
log_level = "warning"
seed_inventory = "spennuvir.toml"
platform_list_address = "127.0.0.1:18400"
balancer_notice_ms = 1500
stop_grace_ms = 30000

[[peer]]
name = "akureyri-a-1"
data_centre = "akureyri-a"
address = "[::1]:18304"
control = true

[[peer]]
name = "akureyri-a-2"
data_centre = "akureyri-a"
address = "127.0.0.1:18305"
)";

std::vector<core::located_error> errorsOf(const std::string &text)
{
    const auto parsed = core::parseSettings(text, "host.toml");
    const auto *errors = std::get_if<std::vector<core::located_error>>(&parsed);
    return errors ? *errors : std::vector<core::located_error>();
}

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const auto position = text.find(from);
    EXPECT_NE(position, std::string::npos) << from;
    return position == std::string::npos ? text : text.replace(position, from.size(), to);
}

struct malformed_case
{
    std::string from;
    std::string to;
    core_error code;
    std::uint32_t line;
};

const std::vector<malformed_case> malformedCases{
    {"cluster_name = \"spennuvir\"", "", core_error::MissingKey, 1},
    {"\"reykjavik-a-1\"", "\"\"", core_error::MissingKey, 2},
    {"\"reykjavik-a-1\"", "\"two words\"", core_error::InvalidName, 2},
    {"\"reykjavik-a-1\"", "7", core_error::WrongType, 2},
    {"\"reykjavik-a-1\"", "\"unclosed", core_error::InvalidSyntax, 2},
    {"region = ", "regions = ", core_error::UnknownKey, 4},
    {"[\"entry\", \"control\"]", "[\"entry\", \"leader\"]", core_error::InvalidRole, 5},
    {"[\"entry\", \"control\"]", "[]", core_error::InvalidRole, 5},
    {"caller_address = \"127.0.0.1:18101\"", "", core_error::MissingKey, 1},
    {"127.0.0.1:18101", "localhost:18101", core_error::InvalidAddress, 6},
    {"127.0.0.1:18101", "127.0.0.1", core_error::InvalidAddress, 6},
    {"127.0.0.1:18101", "127.0.0.1:0", core_error::InvalidAddress, 6},
    {"127.0.0.1:18201", "127.0.0.1:65536", core_error::InvalidAddress, 7},
    {"127.0.0.1:18201", "127.0.0.1:18301", core_error::DuplicateAddress, 7},
    {"127.0.0.1:18301", "127.0.0.1:18301x", core_error::InvalidAddress, 8},
    {"127.0.0.1:18301", "::1:18301", core_error::InvalidAddress, 8},
    {"data_folder = \"/var/lib/quetzalcleat\"", "", core_error::MissingKey, 1},
    {"\"0123456789abcdef\", ", "\"0123456789abcde\", ", core_error::WeakKey, 10},
    {"\"0123456789abcdef\", \"fedcba9876543210\"", "", core_error::OutOfRange, 10},
    {"\"0123456789abcdef\", ", "\"0123456789abcdef\", \"0123456789abcdeg\", ",
     core_error::OutOfRange, 10},
    {"operator-key-0123", "short", core_error::WeakKey, 11},
    {"operator_key = \"operator-key-0123\"", "", core_error::MissingKey, 1},
    {"\"warning\"", "\"verbose\"", core_error::OutOfRange, 12},
    {"127.0.0.1:18400", "platform:80", core_error::InvalidAddress, 14},
    {"1500", "-1", core_error::OutOfRange, 15},
    {"30000", "30.5", core_error::WrongType, 16},
    {"30000", "86400001", core_error::OutOfRange, 16},
    {"30000", "30000\nstop_grace_ms = 1", core_error::InvalidSyntax, 17},
    {"[[peer]]", "[peer]", core_error::InvalidSyntax, 24},
    {"name = \"akureyri-a-1\"", "", core_error::MissingKey, 18},
    {"name = \"akureyri-a-1\"", "name = \"reykjavik-a-1\"", core_error::DuplicateName, 19},
    {"name = \"akureyri-a-2\"", "name = \"akureyri-a-1\"", core_error::DuplicateName, 25},
    {"\"[::1]:18304\"", "\"[::1:18304\"", core_error::InvalidAddress, 21},
    {"control = true", "control = \"yes\"", core_error::WrongType, 22},
    {"127.0.0.1:18305", "127.0.0.1:18301", core_error::DuplicateAddress, 27},
    {"127.0.0.1:18305\"", "127.0.0.1:18305\"\nweight = 1", core_error::UnknownKey, 28},
};

} // namespace

// Guards against a documented key that is not read.
TEST(Settings, ReadsEveryKey)
{
    const auto parsed = core::parseSettings(validSettings, "host.toml");
    const auto *settings = std::get_if<core::settings>(&parsed);
    ASSERT_NE(settings, nullptr);
    EXPECT_EQ(settings->clusterName, "spennuvir");
    EXPECT_EQ(settings->hostName, "reykjavik-a-1");
    EXPECT_EQ(settings->dataCentre, "reykjavik-a");
    EXPECT_EQ(settings->region, "reykjavik");
    EXPECT_TRUE(settings->entry && settings->control);
    EXPECT_EQ(settings->callerAddress.text(), "127.0.0.1:18101");
    EXPECT_EQ(settings->operatorAddress.text(), "127.0.0.1:18201");
    EXPECT_EQ(settings->peerAddress.text(), "127.0.0.1:18301");
    EXPECT_EQ(settings->dataFolder, "/var/lib/quetzalcleat");
    EXPECT_EQ(settings->peerKeys.size(), 2U);
    EXPECT_EQ(settings->operatorKey, "operator-key-0123");
    EXPECT_EQ(settings->logLevel, core::log_level::Warning);
    EXPECT_EQ(settings->seedInventory, "spennuvir.toml");
    EXPECT_EQ(settings->platformHostListAddress, "127.0.0.1:18400");
    EXPECT_EQ(settings->balancerNoticeTime, std::chrono::milliseconds(1500));
    EXPECT_EQ(settings->stopGraceTime, std::chrono::seconds(30));
    ASSERT_EQ(settings->peers.size(), 2U);
    EXPECT_EQ(settings->peers[0].address.text(), "[::1]:18304");
    EXPECT_TRUE(settings->peers[0].control);
    EXPECT_FALSE(settings->peers[1].control);
}

// Guards against limits on callers that are not read, and against values that leave no room for a
// single request.
TEST(Settings, ReadsTheLimitsOnCallers)
{
    const auto parsed = core::parseSettings(
        replaced(validSettings, "30000",
                 "30000\nmemory_mb = 96\nhead_timeout_ms = 2000\nbody_bytes_per_second = 0\n"
                 "document_values = 5000"),
        "host.toml");
    const auto *settings = std::get_if<core::settings>(&parsed);
    ASSERT_NE(settings, nullptr);
    EXPECT_EQ(settings->callerLimits.memoryMebibytes, 96U);
    EXPECT_EQ(settings->callerLimits.headTime, std::chrono::seconds(2));
    EXPECT_EQ(settings->callerLimits.bodyBytesPerSecond, 0U);
    EXPECT_EQ(settings->callerLimits.documentValues, 5000U);
    for (const auto *faulty : {"memory_mb = 63", "head_timeout_ms = 0", "document_values = 999"}) {
        const auto errors
            = errorsOf(replaced(validSettings, "30000", std::string("30000\n") + faulty));
        ASSERT_EQ(errors.size(), 1U) << faulty;
        EXPECT_EQ(errors[0].code, core_error::OutOfRange);
    }
}

// Guards against a host that starts with a faulty settings file, and against errors with a wrong
// line number.
TEST(Settings, RefusesMalformedFiles)
{
    for (const auto &malformed : malformedCases) {
        const auto errors = errorsOf(replaced(validSettings, malformed.from, malformed.to));
        const bool found = std::any_of(errors.begin(), errors.end(), [&](const auto &error) {
            return error.code == malformed.code && error.line == malformed.line
                && error.file == "host.toml";
        });
        EXPECT_TRUE(found) << malformed.from << " -> " << malformed.to << ": " << errors.size()
                           << " errors, first "
                           << (errors.empty() ? "none" : errors[0].code.message()) << " at "
                           << (errors.empty() ? 0 : errors[0].line);
    }
}

// Guards against secrets in log files: the error of a weak key must not quote it.
TEST(Settings, ErrorsDoNotQuoteKeys)
{
    for (const auto &error : errorsOf(replaced(validSettings, "operator-key-0123", "abcxyz")))
        EXPECT_EQ(error.detail.find("abcxyz"), std::string::npos);
}

// Guards against stack exhaustion: toml++ frees nested tables recursively.
TEST(Settings, RefusesDeepNesting)
{
    std::string key = "a";
    for (int depth = 0; depth < 200000; ++depth)
        key += ".a";
    EXPECT_EQ(errorsOf(key + " = 1").at(0).code, core_error::InvalidSyntax);
    EXPECT_EQ(errorsOf("b = '''\n ' '''\n[" + key + "]").at(0).line, 3U);
    // Fewer brackets than the limit on values, so that the text reaches toml++.
    EXPECT_EQ(errorsOf("a = " + std::string(90000, '[')).at(0).code, core_error::InvalidSyntax);
    EXPECT_EQ(errorsOf("a = " + std::string(200000, '[')).at(0).code, core_error::FileTooLarge);
}

// Guards against undefined behaviour of toml++ 3.3 and against its assertion on a bad table header.
TEST(Settings, RefusesInputThatTomlPlusPlusMishandles)
{
    EXPECT_EQ(errorsOf("a = 1\n\xC3\xAD = 2").at(0).line, 2U);
    EXPECT_EQ(errorsOf("a = \"\"\"\nb \\\n\xC3\xAD\"\"\"").at(0).line, 2U);
    EXPECT_EQ(errorsOf("a = 1\n[(]").at(0).line, 2U);
    for (const auto &error : errorsOf("# \xC3\xAD\n" + validSettings))
        ADD_FAILURE() << error.code.message();
}

// Guards against a crash of the parser on arbitrary bytes.
RC_GTEST_PROP(SettingsProperty, RandomBytesNeverCrash, (const std::string &bytes))
{
    RC_ASSERT(!errorsOf(bytes).empty());
}

// Guards against a crash on a damaged file, and against accepting one without the required keys.
RC_GTEST_PROP(SettingsProperty, DamagedFilesNeverBreakInvariants, ())
{
    auto text = validSettings;
    const auto changes = *rc::gen::inRange(1, 8);
    for (int change = 0; change < changes; ++change)
        text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
    const auto parsed = core::parseSettings(text, "host.toml");
    const auto *settings = std::get_if<core::settings>(&parsed);
    if (!settings)
        return;
    RC_ASSERT(core::isValidName(settings->hostName) && settings->peerAddress.port != 0);
    RC_ASSERT(!settings->peerKeys.empty() && settings->operatorKey.size() >= 16);
    for (const auto &peer : settings->peers)
        RC_ASSERT(peer.name != settings->hostName && peer.address.port != 0);
}
