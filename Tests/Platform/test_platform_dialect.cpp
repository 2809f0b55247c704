#include "platform/platform_dialect.h"

#include <sys/resource.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace quetzalcleat;
using platform::platform_dialect;

namespace {

const std::string validConfiguration = R"({"version":7,
 "routes":[
  {"name":"r1","host":"a.example","path-prefix":"/s/","kind":"streaming","timeout-ms":8000,
   "slo-ms":800,"priority":1,"service":"engines","max-attempts":1,"public":false,"sticky":true,
   "resumable":true,"target-gap-ms":300},
  {"name":"r2","host":"a.example","path-prefix":"/t/","kind":"idempotent","timeout-ms":2000,
   "slo-ms":400.5,"priority":2,"traffic-split":[{"service":"engines","weight":90},
   {"service":"desk","weight":10}],"max-attempts":2,"public":true}],
 "services":[{"name":"engines","health-path":"/h","max-conns":370,"protocol":"h1","tls":false,
   "engine":{"capacity":64,"kv-capacity":443010,"stride":3,"models":[{"name":"m"}]}},
  {"name":"desk","health-path":"/h","max-conns":110}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,
   "idle-timeout-ms":15000},
 "tenants":[{"name":"t","api-keys":["k1","k2"],"priority":1}],"unknown":{"x":1}})";

std::string without(const std::string &text, const std::string &part)
{
    auto changed = text;
    changed.erase(changed.find(part), part.size());
    return changed;
}

} // namespace

/// Guards against fields of the platform that are assigned to the wrong member.
TEST(platform_dialect, ReadsAConfiguration)
{
    const auto content = platform_dialect::readConfiguration(validConfiguration);
    ASSERT_TRUE(content) << content.error().message();
    const auto &value = content.value();
    EXPECT_EQ(value.version, 7U);
    ASSERT_EQ(value.routes.size(), 2U);
    EXPECT_EQ(value.routes[0].kind, forward::request_kind::Stream);
    EXPECT_TRUE(value.routes[0].resumable);
    EXPECT_TRUE(value.routes[0].sharesPrefixes);
    EXPECT_EQ(value.routes[0].latencyObjective, std::chrono::milliseconds(800));
    EXPECT_EQ(value.routes[0].eventGapObjective, std::chrono::milliseconds(300));
    EXPECT_EQ(value.routes[0].services.at(0).service, "engines");
    EXPECT_EQ(value.routes[1].services.at(1).weight, 10U);
    EXPECT_TRUE(value.routes[1].isPublic);
    EXPECT_EQ(value.routes[1].maximumAttempts, 2);
    ASSERT_TRUE(value.services.at(0).engine);
    EXPECT_EQ(value.services[0].engine->tokensPerEvent, 3U);
    EXPECT_FALSE(value.services[1].engine);
    EXPECT_TRUE(value.requiresKeys);
    EXPECT_EQ(value.accounts.at(0).keys.size(), 2U);
    EXPECT_EQ(value.accounts[0].priority, 1);
    EXPECT_EQ(value.limits.idleTimeout, std::chrono::seconds(15));
}

/// Guards against accepting a document of which a part cannot be read.
TEST(platform_dialect, RefusesConfigurationsThatCannotBeRead)
{
    for (std::size_t size = 0; size < validConfiguration.size(); size += 7)
        EXPECT_FALSE(platform_dialect::readConfiguration(validConfiguration.substr(0, size)))
            << size;
    for (const auto *part : {R"("version":7,)", R"("kind":"streaming",)", R"("service":"engines",)",
                             R"("timeout-ms":8000,)", R"("host":"a.example",)"})
        EXPECT_FALSE(platform_dialect::readConfiguration(without(validConfiguration, part)))
            << part;
    EXPECT_FALSE(platform_dialect::readConfiguration("[]"));
    EXPECT_FALSE(
        platform_dialect::readConfiguration(R"({"version":-1,"routes":[],"services":[]})"));
    EXPECT_FALSE(platform_dialect::readConfiguration(R"({"version":1,"routes":{},"services":[]})"));
}

/// Guards against an invalid entry that is used or hides the valid ones.
TEST(platform_dialect, SkipsListEntriesThatCannotBeRead)
{
    const auto page = platform_dialect::readEndpointListPage(R"({"instances":[
        {"service":"s","version":"v1","warmup-left-ms":0,"address":"10.0.0.9:8080","zone":"z","capacity":64,"state":"ready","id":"i1"},
        {"service":"s","version":"v1","warmup-left-ms":0,"capacity":64,"address":"10.0.0.9","zone":"z","state":"ready","id":"i2"},
        {"service":"s","version":"v1","warmup-left-ms":0,"zone":"z","capacity":64,"address":"10.0.0.9:80","state":"paused","id":"i3"},
        {"service":7,"version":"v1","warmup-left-ms":0,"zone":"z","capacity":64,"address":"10.0.0.9:80","state":"ready","id":"i4"},
        "text", null,
        {"service":"s","version":"v1","warmup-left-ms":0,"zone":"z","capacity":64,"address":"10.0.0.8:80","state":"draining","id":"i5"}],"next":"p-50"})");
    ASSERT_TRUE(page);
    ASSERT_EQ(page.value().endpoints.size(), 2U);
    EXPECT_EQ(page.value().skipped, 5U);
    EXPECT_EQ(page.value().next, "p-50");
    EXPECT_EQ(page.value().endpoints[0].slots, 64U);
    EXPECT_FALSE(page.value().endpoints[0].isLeaving);
    EXPECT_TRUE(page.value().endpoints[1].isLeaving);
    EXPECT_FALSE(platform_dialect::readEndpointListPage("{\"instances\":"));
    EXPECT_FALSE(platform_dialect::readEndpointListPage("{}"));
}

/// Guards against an entry of another writer, which lacks fields, that names an endpoint to use
/// (review/6).
TEST(platform_dialect, EntriesWithoutAFieldAreSkipped)
{
    const std::string whole
        = R"({"service":"s","address":"10.0.0.9:80","zone":"z","version":"v1","capacity":64,"state":"ready","warmup-left-ms":0,"id":"i1"})";
    const auto entry = nlohmann::json::parse(whole);
    for (const auto &[name, value] : entry.items()) {
        auto lacking = entry;
        lacking.erase(name);
        auto empty = entry;
        empty[name] = nullptr;
        auto other = entry;
        other[name] = value.is_string() ? nlohmann::json(7) : nlohmann::json("7");
        for (const auto &odd : {lacking, empty, other}) {
            SCOPED_TRACE(odd.dump());
            const auto page = platform_dialect::readEndpointListPage(
                R"({"instances":[)" + odd.dump() + "," + whole + "]}");
            ASSERT_TRUE(page);
            EXPECT_EQ(page.value().endpoints.size(), 1U);
            EXPECT_EQ(page.value().skipped, 1U);
        }
    }
}

/// Guards against an entry of another writer that hides the valid ones because its bytes cannot be
/// read: text that is no UTF-8, a number out of range, a missing value.
TEST(platform_dialect, UnreadableEntryHidesNoOther)
{
    const std::string good
        = R"({"service":"s","version":"v1","warmup-left-ms":0,"address":"10.0.0.9:80","zone":"z","capacity":6,"state":"ready","id":"i1"})";
    const std::string other
        = R"({"service":"s","version":"v1","warmup-left-ms":0,"address":"10.0.0.8:80","zone":"z","capacity":6,"state":"ready","id":"a\"]}"})";
    for (const std::string bad :
         {"{\"id\":\"i2\xff\",\"service\":\"s\"}", R"({"id":"i2","capacity":1e999})", R"({"id":})",
          R"({"id":"i2","models":[{"name":"\x"}]})", "{\"id\":\"i2\n\"}"}) {
        SCOPED_TRACE(testing::PrintToString(bad));
        auto text = R"({"instances":[)" + good;
        text += "," + bad;
        text += "," + other + R"(],"next":"p-50"})";
        const auto page = platform_dialect::readEndpointListPage(text);
        ASSERT_TRUE(page);
        EXPECT_EQ(page.value().endpoints.size(), 2U);
        EXPECT_EQ(page.value().skipped, 1U);
        EXPECT_EQ(page.value().next, "p-50");
        for (std::size_t size = 0; size < text.size(); ++size)
            EXPECT_FALSE(platform_dialect::readEndpointListPage(text.substr(0, size))) << size;
    }
}

/// Guards against a host that ends, or no longer follows the list, because another writer left an
/// entry that is nested deeply: to read it took many times its length in memory.
TEST(platform_dialect, DeepEntryHidesNoOtherAndTakesNoMemory)
{
    constexpr std::size_t depth = 1'900'000; // Within the bound of a page.
    constexpr long smallestHostKilobytes = 88 * 1024;
    const auto nested = std::string(depth, '[') + std::string(depth, ']');
    const auto entry = [](const std::string &id, const std::string &more) {
        return R"({"service":"s","version":"v1","warmup-left-ms":0,"capacity":64,"address":"10.0.0.9:80","zone":"z","state":"ready","id":")"
            + id + "\"" + more + "}";
    };
    for (const auto &odd : {entry("i2", ",\"models\":" + nested), nested,
                            std::string(depth, '{') + std::string(depth, '}')}) {
        const auto text
            = R"({"instances":[)" + entry("i1", "") + "," + odd + "," + entry("i3", "") + "]}";
        rusage before{};
        ASSERT_EQ(getrusage(RUSAGE_SELF, &before), 0);
        const auto page = platform_dialect::readEndpointListPage(text);
        rusage after{};
        ASSERT_EQ(getrusage(RUSAGE_SELF, &after), 0);
        ASSERT_TRUE(page);
        EXPECT_EQ(page.value().endpoints.size(), 2U);
        EXPECT_EQ(page.value().skipped, 1U);
        EXPECT_LT(after.ru_maxrss - before.ru_maxrss, smallestHostKilobytes);
    }
    // Nothing can be read of a page that is nested itself.
    EXPECT_FALSE(
        platform_dialect::readEndpointListPage(R"({"instances":[],"next":)" + nested + "}"));
}

/// Guards against numbers and ports out of range that end a host or are cut to others.
TEST(platform_dialect, EntriesWithNumbersOutOfRangeAreSkipped)
{
    const std::string good
        = R"({"service":"s","version":"v1","warmup-left-ms":0,"zone":"z","capacity":64,"address":"10.0.0.9:80","state":"ready","id":"i1"})";
    for (
        const char *odd :
        {R"({"service":"s","version":"v1","warmup-left-ms":0,"zone":"z","capacity":64,"address":"10.0.0.8:65536","state":"ready","id":"i2"})",
         R"({"service":"s","version":"v1","warmup-left-ms":0,"zone":"z","capacity":64,"address":"10.0.0.8:0","state":"ready","id":"i2"})",
         R"({"service":"s","version":"v1","warmup-left-ms":0,"zone":"z","capacity":64,"address":"10.0.0.8:-1","state":"ready","id":"i2"})",
         R"({"service":"s","version":"v1","warmup-left-ms":0,"zone":"z","capacity":64,"address":"10.0.0.8:99999999999999999999","state":"ready","id":"i2"})",
         R"({"service":"s","version":"v1","warmup-left-ms":0,"zone":"z","address":"10.0.0.8:80","state":"ready","id":"i2","capacity":4294967296})",
         R"({"service":"s","version":"v1","warmup-left-ms":0,"zone":"z","address":"10.0.0.8:80","state":"ready","id":"i2","capacity":-1})",
         R"({"service":"s","version":"v1","warmup-left-ms":0,"zone":"z","address":"10.0.0.8:80","state":"ready","id":"i2","capacity":1e300})",
         R"({"service":"s","version":"v1","warmup-left-ms":0,"zone":"z","address":"10.0.0.8:80","state":"ready","id":"i2","capacity":1e999})",
         R"({"service":"s","version":"v1","warmup-left-ms":0,"zone":"z","address":"10.0.0.8:80","state":"ready","id":"i2","capacity":18446744073709551616})"}) {
        SCOPED_TRACE(odd);
        const auto page = platform_dialect::readEndpointListPage(
            R"({"instances":[)" + std::string(odd) + "," + good + R"(],"next":"p-50"})");
        ASSERT_TRUE(page);
        ASSERT_EQ(page.value().endpoints.size(), 1U);
        EXPECT_EQ(page.value().endpoints[0].incarnation, "i1");
        EXPECT_EQ(page.value().skipped, 1U);
    }
}

/// Guards against an identity that adds headers to the requests that name it.
TEST(platform_dialect, EntriesWhoseIdentityIsNoHeaderTextAreSkipped)
{
    for (const auto &odd :
         {std::string("i\\r\\nX-Tenant: other"), std::string("i 2"), std::string("i\\u0000"),
          std::string("\\u00e9"), std::string(), std::string(1000, 'i')}) {
        SCOPED_TRACE(odd);
        const auto page = platform_dialect::readEndpointListPage(
            R"({"instances":[{"service":"s","version":"v1","warmup-left-ms":0,"zone":"z","capacity":64,"address":"10.0.0.9:80","state":"ready","id":")"
            + odd + R"("}]})");
        ASSERT_TRUE(page);
        EXPECT_TRUE(page.value().endpoints.empty());
        EXPECT_EQ(page.value().skipped, 1U);
    }
}

/// Guards against a process that starts with a missing address.
TEST(platform_dialect, ReadsSettings)
{
    const std::string text = R"(node-name = "edge-1"
ip = "10.1.0.19"
zone = "z1"
region = "r1"
port-range = [7340,7355]
seeds = ["10.1.0.22:8229","10.2.0.39:8229"]
bootstrap = true
new-field = 1
[zones]
z1 = "r1"
[listen]
front = "10.1.0.19:8227"
ready = "10.1.0.19:8220"
[fault-tolerance]
machines = 2
[contract-params]
grace-s = 8
drain-ms = 4500
revoke-ms = 5000
retry-slack = 58
[cloud-api]
address = "10.200.0.61:8223"
rate-per-s = 47.0
max-lag-ms = 800
)";
    const auto settings = platform_dialect::readSettings(text);
    ASSERT_TRUE(settings) << settings.error().message();
    EXPECT_EQ(settings.value().seeds, (std::vector<std::string>{"10.1.0.22", "10.2.0.39"}));
    EXPECT_EQ(settings.value().peerPort, 7340);
    EXPECT_EQ(settings.value().tolerableDiskLosses, 2U);
    EXPECT_EQ(settings.value().graceTime, std::chrono::seconds(8));
    EXPECT_EQ(settings.value().drainTime, std::chrono::milliseconds(4500));
    EXPECT_EQ(settings.value().endpointListLag, std::chrono::milliseconds(800));
    EXPECT_EQ(settings.value().additionalRetries, 58);
    EXPECT_TRUE(settings.value().bootstrapsCluster);
    EXPECT_FALSE(settings.value().controlAddress);
    for (const auto *part : {"ip = \"10.1.0.19\"\n", "ready = \"10.1.0.19:8220\"\n",
                             "front = \"10.1.0.19:8227\"\n", "port-range = [7340,7355]\n"})
        EXPECT_FALSE(platform_dialect::readSettings(without(text, part))) << part;
    EXPECT_FALSE(platform_dialect::readSettings("ip = "));
}

/// Guards against confusion of the calls of the platform.
TEST(platform_dialect, RecognisesExternalCalls)
{
    const auto callOf = [](const std::string &method, const std::string &target) {
        forward::http_head head;
        head.method = method;
        head.target = target;
        return platform_dialect::httpOperation(head);
    };
    EXPECT_EQ(callOf("GET", "/config"), fleet::http_operation::ReadConfiguration);
    EXPECT_EQ(callOf("PUT", "/config?x"), fleet::http_operation::WriteConfiguration);
    EXPECT_EQ(callOf("GET", "/ready"), fleet::http_operation::Readiness);
    EXPECT_EQ(callOf("POST", "/config"), fleet::http_operation::Unknown);
    EXPECT_EQ(platform_dialect::endpointListTarget("p-50"), "/instances?page-token=p-50");
}

/// Guards against calls that the platform cannot read, and against a name of an account that breaks
/// the body of a report.
TEST(platform_dialect, WritesUsageReports)
{
    const auto report = platform_dialect::usageReport(353445120, {{"a", 412}, {"b\"\xff", 1}});
    EXPECT_EQ(report.method, "POST");
    EXPECT_EQ(report.target, "/usage");
    EXPECT_EQ(report.body, "{\"counts\":{\"a\":412,\"b\\\"\xef\xbf\xbd\":1},\"window\":353445120}");
    EXPECT_EQ(platform_dialect::usageReport(1, {}).body, R"({"counts":{},"window":1})");
    const auto headers = platform_dialect::dutyHeaders({"host", 17});
    ASSERT_EQ(headers.size(), 2U);
    EXPECT_EQ(headers[0].name + ": " + headers[0].value, "X-Duty-Holder: host");
    EXPECT_EQ(headers[1].name + ": " + headers[1].value, "X-Fence-Token: 17");
}

/// Guards against orders that the platform does not understand, or takes for another kind.
TEST(platform_dialect, WritesOrders)
{
    const auto ordinary = platform_dialect::orderCall({"x", "dc", false, 6});
    EXPECT_EQ(ordinary.target, "/scale");
    EXPECT_EQ(ordinary.body, R"({"service":"x","zone":"dc","desired":6})");
    const auto spot = platform_dialect::orderCall({"x", "dc", true, 0});
    EXPECT_EQ(spot.body, R"({"service":"x","zone":"dc","desired":0,"spot":true})");
}
