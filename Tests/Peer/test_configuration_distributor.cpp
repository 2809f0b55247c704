#include "LibPeer/configuration_distributor.h"
#include "LibPeer/document_patch.h"
#include "LibPeer/message_codec.h"
#include "LibPeer/text_compression.h"
#include "LibState/command.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

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

/// The complete document in an answer; empty if there is none.
std::string documentIn(const configuration_lease_answer &answer)
{
    EXPECT_TRUE(answer.configuration.document.empty());
    if (answer.compressedDocument.empty())
        return {};
    const auto text = decompressText(answer.compressedDocument, state::maximumDocumentBytes);
    EXPECT_TRUE(text);
    return text.value_or("");
}

/// Text that hardly becomes smaller by compression.
std::string randomText(std::size_t bytes)
{
    std::mt19937_64 random(1);
    std::string text;
    while (text.size() < bytes)
        text += static_cast<char>(random());
    return text;
}

/// Routes with names, hosts and prefixes of their own.
std::string documentOfDistinctRoutes(int routes)
{
    std::mt19937_64 random(routes);
    const auto word = [&random](int letters) {
        std::string text;
        for (int letter = 0; letter < letters; ++letter)
            text += static_cast<char>('a' + random() % 26);
        return text;
    };
    std::string text = "{\"version\":5,\"routes\":[";
    for (int route = 0; route < routes; ++route)
        text += (route == 0 ? "" : ",") + std::string("{\"name\":\"r-") + word(7) + "\",\"host\":\""
            + word(6) + ".example\",\"path-prefix\":\"/" + word(7)
            + "/\",\"kind\":\"streaming\",\"timeout-ms\":8000,\"slo-ms\":800,\"priority\":1,"
              "\"service\":\"refund-llm\",\"max-attempts\":1,\"public\":false,\"sticky\":true,"
              "\"resumable\":false,\"target-gap-ms\":300}";
    return text + "],\"services\":[{\"name\":\"refund-llm\"}]}";
}

/// A host that applies what it gets, as configuration_lease does.
struct receiving_host
{
    void receive(const configuration_lease_answer &answer)
    {
        if (!answer.hasDocument || answer.configuration.revision <= revision)
            return;
        bytes += answer.compressedDocument.size() + patchBytes(answer.patch);
        auto text = documentIn(answer);
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

/// Guards against a patch with a step for each route where most routes are split between the same
/// services: a piece that many routes share was copied from its first occurrence, and no entry host
/// could decode the steps.
TEST(document_patch, SplitRoutesThatShareTheirPartsNeedFewSteps)
{
    const auto documentOfSplits = [](int routes, const std::string &service) {
        std::string text = "{\"routes\":[{\"name\":\"first\",\"service\":\"" + service + "\"}";
        for (int route = 0; route < routes; ++route) {
            const auto weight = std::to_string(10 * (route % 9 + 1));
            text += ",{\"name\":\"r" + std::to_string(route)
                + "\",\"split\":[{\"service\":\"a\",\"weight\":" + weight
                + "},{\"service\":\"b\",\"weight\":10}],\"attempts\":2}";
        }
        return text + "]}";
    };
    const auto from = documentOfSplits(1508, "a");
    const auto to = documentOfSplits(1508, "b");
    const auto patch = makePatch(from, to);
    EXPECT_LT(patch.steps.size(), 5U);
    EXPECT_EQ(applyPatch(from, patch), to);
}

/// Guards against a patch that no host can decode, because it has more steps than a list may have.
TEST(configuration_distributor, PatchWithManyStepsIsSentAsTheDocument)
{
    constexpr int pieces = 10'000;
    const std::string padding(100, 'x');
    std::string from;
    std::string to;
    for (int piece = 0; piece < pieces; ++piece) {
        from += std::to_string(piece) + padding + '}';
        to += std::to_string(pieces - 1 - piece) + padding + '}';
    }
    configuration_distributor leader;
    leader.publish({1, from, "e", "h"});
    leader.publish({2, to, "e", "h"});
    configuration_lease_answer answer;
    leader.answer(answer, "host", 1, start);
    EXPECT_GT(makePatch(from, to).steps.size(), configuration_distributor::maximumPatchSteps);
    EXPECT_TRUE(answer.patch.steps.empty());
    EXPECT_EQ(documentIn(answer), to);
    EXPECT_TRUE(decodeMessage(encodeMessage(answer)));
}

/// Guards against a host that is held at an old version because it cannot read a patch, also while
/// changes follow each other sooner than one counts as lost.
TEST(configuration_distributor, HostThatReadsNoPatchGetsTheDocument)
{
    for (const auto gap : {milliseconds(333), milliseconds(5000)}) {
        configuration_distributor leader;
        std::uint64_t revision = 1;
        std::uint64_t inForce = 1;
        leader.publish(configurationOf(revision, 1350));
        auto behindSince = start;
        const auto receive = [&](const configuration_lease_answer &answer) {
            if (answer.hasDocument && answer.patch.baseRevision == 0)
                inForce = answer.configuration.revision;
        };
        for (auto now = start; now < start + milliseconds(10'000); now += milliseconds(1)) {
            const auto elapsed = (now - start) / milliseconds(1);
            if (elapsed % gap.count() == 0) {
                leader.publish(configurationOf(++revision, 1350));
                configuration_lease_answer push;
                if (leader.push(push, "host", now))
                    receive(push);
            }
            const auto before = inForce;
            if (elapsed % 250 == 0) {
                configuration_lease_answer answer;
                leader.answer(answer, "host", inForce, now);
                receive(answer);
            }
            if (inForce != before || inForce == revision)
                behindSince = now;
            ASSERT_LT(now - behindSince, milliseconds(2500));
        }
    }
}

/// Guards against a leader that runs out of memory when all hosts need a very large document at
/// once, and against a host that never gets it.
TEST(configuration_distributor, BoundsTheDocumentsInTransit)
{
    configuration_distributor leader;
    const auto document = randomText(std::size_t{2} * 1024 * 1024);
    leader.publish({1, document, "e", "h"});
    const auto request = [&](int host, core::instant now) {
        configuration_lease_answer answer;
        leader.answer(answer, "host-" + std::to_string(host), 0, now);
        return answer.hasDocument;
    };
    std::size_t sent = 0;
    for (int host = 0; host < 100; ++host)
        sent += request(host, start) ? 1 : 0;
    EXPECT_EQ(sent, configuration_distributor::maximumTransitBytes / compressText(document).size());
    for (int host = 0; host < 100; ++host) {
        configuration_lease_answer answer;
        if (host < static_cast<int>(sent))
            leader.answer(answer, "host-" + std::to_string(host), 1, start + milliseconds(500));
    }
    EXPECT_TRUE(request(99, start + milliseconds(600)));
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
    EXPECT_EQ(documentIn(late), documentOf(3, 20));
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

/// Guards against a confirmed change that is not in force in time because the document takes longer
/// on the way to a host than the time in which it has to be in force, as seen on
/// siamwan-refund-grown when the configuration grew by 3,000 routes: the links of its hosts have
/// 7.5 Mbit/s, which requests use as well. The page allows 3 s.
TEST(configuration_distributor, LargestDocumentIsInTimeOnTheSlowestLink)
{
    constexpr std::size_t bytesPerMillisecond = 937;
    constexpr std::size_t timeToApply = 3000;
    auto routes = 1000;
    auto document = documentOfDistinctRoutes(routes);
    while (document.size() < state::maximumDocumentBytes * 9 / 10)
        document = documentOfDistinctRoutes(routes += 1000);
    ASSERT_LT(document.size(), state::maximumDocumentBytes);
    configuration_distributor leader;
    leader.publish({1, documentOfDistinctRoutes(49), "e", "h"});
    leader.publish({2, document, "e", "h"});
    for (const std::uint64_t revision : {0, 1}) {
        configuration_lease_answer answer;
        leader.answer(answer, "host-" + std::to_string(revision), revision, start);
        ASSERT_TRUE(answer.hasDocument);
        // Half of the link is left to requests.
        EXPECT_LT(encodeMessage(answer).size(), bytesPerMillisecond * timeToApply / 2);
        receiving_host host;
        host.revision = revision;
        host.document = documentOfDistinctRoutes(49);
        host.receive(answer);
        EXPECT_EQ(host.document, document);
    }
}

/// Guards against a leader whose link to all hosts, or whose memory, is taken by one change.
TEST(configuration_distributor, GrownDocumentReachesAllHostsAtOnce)
{
    constexpr int hosts = 300;
    configuration_distributor leader;
    leader.publish({1, documentOfDistinctRoutes(49), "e", "h"});
    leader.publish({2, documentOfDistinctRoutes(3049), "e", "h"});
    for (int host = 0; host < hosts; ++host) {
        configuration_lease_answer answer;
        leader.answer(answer, "host-" + std::to_string(host), 1, start);
        EXPECT_TRUE(answer.hasDocument);
    }
}

/// Guards against a host that keeps an old version because it cannot read the compressed document,
/// and against bytes that take more memory than a document may.
TEST(text_compression, RefusesDamagedAndOversizedText)
{
    const auto text = documentOfDistinctRoutes(500);
    const auto compressed = compressText(text);
    EXPECT_EQ(decompressText(compressed, text.size()), text);
    EXPECT_FALSE(decompressText(compressed, text.size() - 1));
    EXPECT_FALSE(decompressText(compressed + 'x', text.size()));
    EXPECT_FALSE(decompressText(compressText(std::string(1'000'000, 'x')), 999'999));
    for (const std::size_t length : {std::size_t{0}, std::size_t{1}, compressed.size() - 1})
        EXPECT_FALSE(decompressText(compressed.substr(0, length), text.size()));
    auto damaged = compressed;
    damaged[damaged.size() / 2] ^= 1;
    EXPECT_FALSE(decompressText(damaged, text.size()));
    EXPECT_EQ(decompressText(compressText({}), 0), std::string());
}
