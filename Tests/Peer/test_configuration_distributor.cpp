#include "LibPeer/configuration_distributor.h"
#include "LibPeer/document_patch.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace quetzalcleat;
using namespace quetzalcleat::peer;
using std::chrono::milliseconds;

namespace {

constexpr core::instant start{std::chrono::hours(1)};

std::string documentOf(std::uint64_t version, int routes)
{
    auto text = "{\"version\":" + std::to_string(version) + ",\"routes\":[";
    for (int route = 0; route < routes; ++route)
        text += "{\"name\":\"r" + std::to_string(route) + "\",\"host\":\"a.example\",\"prefix\":\"/"
            + std::to_string(route * 7919) + "/\"},";
    return text + "]}";
}

state::configuration configurationOf(std::uint64_t revision, int routes)
{
    return {revision, documentOf(revision * 3, routes), "e", "h"};
}

/// A host that applies what it gets, as configuration_lease does.
struct receiving_host
{
    void receive(const configuration_lease_answer &answer)
    {
        if (!answer.hasDocument || answer.configuration.revision <= revision)
            return;
        bytes += answer.configuration.document.size() + patchBytes(answer.patch);
        auto text = answer.configuration.document;
        if (answer.patch.baseRevision != 0) {
            if (answer.patch.baseRevision != revision)
                return;
            const auto made = applyPatch(document, answer.patch);
            ASSERT_TRUE(made);
            text = *made;
        }
        document = text;
        revision = answer.configuration.revision;
    }

    std::uint64_t revision = 0;
    std::string document;
    std::size_t bytes = 0;
};

} // namespace

/// Guards against a patch that does not reproduce the document, for any two texts.
RC_GTEST_PROP(document_patch, ReproducesTheDocument, ())
{
    const auto text = rc::gen::container<std::string>(rc::gen::element('a', 'b', '}', '{', ','));
    const auto from = *text;
    const auto to = *rc::gen::oneOf(
        text, rc::gen::map(text, [&](const std::string &more) { return from + more + from; }));
    const auto patch = makePatch(from, to);
    RC_ASSERT(applyPatch(from, patch) == to);
}

/// Guards against a host that applies a patch to another document than the sender used, and against
/// steps that read outside the document.
TEST(document_patch, RefusesPatchOfAnotherDocument)
{
    const auto patch = makePatch(documentOf(1, 50), documentOf(2, 51));
    EXPECT_FALSE(applyPatch(documentOf(1, 49), patch));
    document_patch outside;
    outside.steps.push_back({5, 10, {}});
    EXPECT_FALSE(applyPatch("short", outside));
    outside.steps = {{0, ~std::uint64_t{0}, {}}};
    EXPECT_FALSE(applyPatch("short", outside));
}

/// Guards against a change of one route that is sent as the complete document.
TEST(document_patch, OneChangedRouteIsSmall)
{
    const auto from = documentOf(10, 1350);
    EXPECT_LT(patchBytes(makePatch(from, documentOf(11, 1351))), 1000U);
}

/// Load pattern: a large configuration that changes several times a second, over links with delay.
/// Guards against complete documents that are queued again with each request of a host, until the
/// leader runs out of memory (seen with fleetbench on spennuvir-quetzal-grown, fresh-f275).
TEST(configuration_distributor, FrequentChangesOfALargeConfigurationSendLittle)
{
    configuration_distributor leader;
    receiving_host host;
    std::deque<std::pair<core::instant, configuration_lease_answer>> inTransit;
    const auto documentBytes = documentOf(1, 1350).size();
    auto now = start;
    std::uint64_t revision = 1;
    leader.publish(configurationOf(revision, 1350));
    for (int step = 0; step < 200; ++step, now += milliseconds(50)) {
        if (step % 4 == 0 && step < 160) {
            leader.publish(configurationOf(++revision, 1350 + step));
            configuration_lease_answer answer;
            if (leader.push(answer, "host", now))
                inTransit.emplace_back(now + milliseconds(300), answer);
        }
        if (step % 5 == 0) {
            configuration_lease_answer answer;
            leader.answer(answer, "host", host.revision, now);
            EXPECT_EQ(answer.revision, revision);
            inTransit.emplace_back(now + milliseconds(300), answer);
        }
        while (!inTransit.empty() && inTransit.front().first <= now) {
            host.receive(inTransit.front().second);
            inTransit.pop_front();
        }
    }
    EXPECT_EQ(host.revision, revision);
    EXPECT_EQ(host.document, documentOf(revision * 3, 1350 + 156));
    EXPECT_LT(host.bytes, 2 * documentBytes);
}

/// Guards against a host that never gets a configuration whose first transmission was lost, with
/// its connection or with its process.
TEST(configuration_distributor, LostConfigurationIsSentAgain)
{
    configuration_distributor leader;
    leader.publish(configurationOf(1, 20));
    configuration_lease_answer first;
    leader.answer(first, "host", 0, start);
    EXPECT_TRUE(first.hasDocument);
    EXPECT_EQ(first.patch.baseRevision, 0U);
    configuration_lease_answer soon;
    leader.answer(soon, "host", 0, start + milliseconds(250));
    EXPECT_FALSE(soon.hasDocument);
    configuration_lease_answer late;
    leader.answer(late, "host", 0, start + configuration_distributor::lossTimeout);
    EXPECT_EQ(late.configuration.document, documentOf(3, 20));
    // A push that relies on the lost one is ignored by the host, which then asks.
    leader.publish(configurationOf(2, 21));
    configuration_lease_answer push;
    EXPECT_TRUE(leader.push(push, "host", start + milliseconds(900)));
    receiving_host host;
    host.receive(push);
    EXPECT_EQ(host.revision, 0U);
    configuration_lease_answer again;
    leader.answer(again, "host", host.revision,
                  start + milliseconds(900) + configuration_distributor::lossTimeout);
    host.receive(again);
    EXPECT_EQ(host.document, documentOf(6, 21));
}
