#include "LibForward/route_table.h"

#include <gtest/gtest.h>

using namespace quetzalcleat::forward;

namespace {

route routeTo(const std::string &prefix, const std::string &service)
{
    route entry;
    entry.name = prefix + service;
    entry.host = "a.example";
    entry.pathPrefix = prefix;
    entry.timeout = std::chrono::seconds(1);
    entry.services = {{service, 1}};
    return entry;
}

configuration twoServices()
{
    configuration content;
    content.version = 1;
    content.services = {{"one", "/health", 10, {}}, {"two", "/health", 10, {}}};
    return content;
}

std::error_code errorOf(configuration content)
{
    return route_table::create(std::move(content)).error();
}

} // namespace

/// Guards against a request that is routed by a shorter prefix.
TEST(route_table, LongestPrefixWins)
{
    auto content = twoServices();
    content.routes = {routeTo("/", "one"), routeTo("/a/", "two"), routeTo("/a/b/", "one")};
    const auto table = route_table::create(content);
    ASSERT_TRUE(table);
    EXPECT_EQ(table.value()->find("a.example", "/a/b/c")->pathPrefix, "/a/b/");
    EXPECT_EQ(table.value()->find("a.example", "/a/bc")->pathPrefix, "/a/");
    EXPECT_EQ(table.value()->find("a.example", "/a")->pathPrefix, "/");
    EXPECT_EQ(table.value()->find("b.example", "/a/"), nullptr);
    EXPECT_EQ(table.value()->find("a.example", ""), nullptr);
}

/// Guards against accepting invalid documents, with one case for each error.
TEST(route_table, RefusesInvalidDocuments)
{
    auto unknown = twoServices();
    unknown.routes = {routeTo("/", "three")};
    EXPECT_EQ(errorOf(unknown), forward_error::UnknownService);

    auto doubled = twoServices();
    doubled.routes = {routeTo("/a/", "one"), routeTo("/a/", "two")};
    EXPECT_EQ(errorOf(doubled), forward_error::DuplicateRoute);

    auto weightless = twoServices();
    weightless.routes = {routeTo("/", "one")};
    weightless.routes[0].services = {{"one", 0}, {"two", 0}};
    EXPECT_EQ(errorOf(weightless), forward_error::NoWeight);

    auto timeless = twoServices();
    timeless.routes = {routeTo("/", "one")};
    timeless.routes[0].timeout = std::chrono::milliseconds(0);
    EXPECT_EQ(errorOf(timeless), forward_error::NoTimeout);

    auto shared = twoServices();
    shared.accounts = {{"x", {"k1", "k2"}, {}}, {"y", {"k2"}, {}}};
    EXPECT_EQ(errorOf(shared), forward_error::SharedKey);

    auto open = twoServices();
    open.routes = {routeTo("/a", "one")};
    EXPECT_EQ(errorOf(open), forward_error::BadField);
}

configuration twoStreams(std::chrono::milliseconds firstObjective,
                         std::chrono::milliseconds firstGap,
                         std::chrono::milliseconds secondObjective,
                         std::chrono::milliseconds secondGap)
{
    auto content = twoServices();
    content.routes = {routeTo("/a/", "one"), routeTo("/b/", "one"), routeTo("/c/", "two")};
    for (auto &entry : content.routes)
        entry.kind = request_kind::Stream;
    content.routes[0].latencyObjective = firstObjective;
    content.routes[0].eventGapObjective = firstGap;
    content.routes[1].latencyObjective = secondObjective;
    content.routes[1].eventGapObjective = secondGap;
    content.routes[2].latencyObjective = std::chrono::milliseconds(500);
    return content;
}

/// Guards against long prompts on the engines of the streams that they delay most: those that are
/// late first by their start or by their pauses are told apart from the others of their service,
/// and none is where all are alike.
TEST(route_table, OnlyTheStreamsThatTolerateTheLeastAreLowLatency)
{
    using std::chrono::milliseconds;
    const auto isFirstOnly = [](const configuration &content) {
        const auto table = route_table::create(content).value();
        EXPECT_FALSE(table->isLeastTolerant(content.routes[2]));
        return table->isLeastTolerant(content.routes[0])
            && !table->isLeastTolerant(content.routes[1]);
    };
    constexpr milliseconds none{0};
    EXPECT_TRUE(isFirstOnly(twoStreams(milliseconds(500), none, milliseconds(2500), none)));
    // The same start, other pauses; then the same pauses, another start.
    EXPECT_TRUE(isFirstOnly(
        twoStreams(milliseconds(1500), milliseconds(300), milliseconds(1500), milliseconds(500))));
    EXPECT_TRUE(isFirstOnly(
        twoStreams(milliseconds(500), milliseconds(600), milliseconds(2500), milliseconds(600))));
    const auto alike
        = twoStreams(milliseconds(1500), milliseconds(300), milliseconds(1500), milliseconds(300));
    const auto table = route_table::create(alike).value();
    EXPECT_FALSE(table->isLeastTolerant(alike.routes[0]));
    EXPECT_FALSE(table->isLeastTolerant(alike.routes[1]));
}

/// Guards against a key that gives access to another account.
TEST(route_table, FindsTheAccountOfAKey)
{
    auto content = twoServices();
    content.accounts = {{"x", {"k1", "k2"}, 1}, {"y", {"k3"}, {}}};
    const auto table = route_table::create(content);
    ASSERT_TRUE(table);
    EXPECT_EQ(table.value()->findAccount("k2")->name, "x");
    EXPECT_EQ(table.value()->findAccount("k3")->name, "y");
    EXPECT_EQ(table.value()->findAccount("k"), nullptr);
}
