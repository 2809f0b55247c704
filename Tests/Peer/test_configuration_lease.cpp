#include "LibPeer/endpoint_list_codec.h"
#include "LibPeer/endpoint_list_transfers.h"
#include "addressed_fleet.h"
#include "file_size_limit.h"

namespace quetzalcleat::peer::test {

class configuration_fleet : public addressed_fleet
{
protected:
    void SetUp() override
    {
        for (const auto &seed : seeds)
            startControl(seed, true);
        startEntry("127.0.1.20");
    }

    entry_host &entry() { return entries.at("127.0.1.20"); }

    /// A host that asks once, and is suspended for an hour before the answer arrives.
    entry_host &startEntryWithLateAnswer()
    {
        configuration_lease_options options;
        options.interval = std::chrono::hours(100);
        options.maximumInterval = options.interval;
        startEntry("127.0.1.21", options);
        suspend("127.0.1.21", std::chrono::hours(1));
        return entries.at("127.0.1.21");
    }

    bool entryHas(std::uint64_t version)
    {
        return until(
            [&] { return !entry().versions.empty() && entry().versions.back() == version; });
    }
};

/// Guards against a lower version that replaces a higher one, a resend that is refused, and a host
/// that does not get an accepted version.
TEST_F(configuration_fleet, HighestVersionWins)
{
    EXPECT_EQ(write(7), write_outcome::Accepted);
    EXPECT_TRUE(entryHas(7));
    EXPECT_EQ(write(7), write_outcome::NotNewer);
    EXPECT_EQ(write(3), write_outcome::NotNewer);
    EXPECT_EQ(write(12), write_outcome::Accepted);
    EXPECT_EQ(newestVersion(), 12U);
    EXPECT_TRUE(entryHas(12));
    EXPECT_TRUE(std::is_sorted(entry().versions.begin(), entry().versions.end()));
}

/// Guards against a race in which the lower version ends in force: many writes at once, the highest
/// one among them.
TEST_F(configuration_fleet, WritesAtTheSameTimeEndWithTheHighest)
{
    const auto at = waitForLeader();
    std::size_t answered = 0;
    for (const std::uint64_t version : {5U, 9U, 2U, 14U, 11U, 14U, 1U})
        controls.at(at).writer->write(std::to_string(version), version,
                                      [&](write_outcome) { ++answered; });
    EXPECT_TRUE(until([&] { return answered == 7; }));
    EXPECT_EQ(newestVersion(), 14U);
}

/// Guards against an accepted version that is lost with its leader, and a lease that outlives it.
TEST_F(configuration_fleet, AcceptedVersionSurvivesItsLeader)
{
    EXPECT_EQ(write(4), write_outcome::Accepted);
    stopControl(waitForLeader());
    EXPECT_EQ(newestVersion(), 4U);
    EXPECT_EQ(write(5), write_outcome::Accepted);
    EXPECT_TRUE(entryHas(5));
    EXPECT_TRUE(until([&] { return entry().lease->age() < std::chrono::milliseconds(600); }));
}

/// Guards against hosts that wait for their next request to learn that there is a leader again:
/// after a failure of all hosts, every caller waits with them.
TEST_F(configuration_fleet, NewLeaderAnswersHostsThatWait)
{
    EXPECT_EQ(write(4), write_outcome::Accepted);
    for (const auto &seed : seeds)
        stopControl(seed);
    for (const auto &seed : seeds)
        startControl(seed, false);
    // Asks once, before there is a leader, and not again during the test.
    configuration_lease_options options;
    options.interval = std::chrono::hours(1);
    options.maximumInterval = options.interval;
    startEntry("127.0.1.21", options);
    const auto &waiting = entries.at("127.0.1.21");
    EXPECT_TRUE(until(
        [&] { return !waiting.versions.empty() && waiting.lease->age() < std::chrono::hours(1); }));
    EXPECT_EQ(waiting.versions.back(), 4U);
}

/// Guards against changes that are refused for good once the disks of the control hosts were full
/// for some seconds, though all of them have room again and all processes run.
TEST_F(configuration_fleet, FullDisksAreUsedAgain)
{
    using namespace std::chrono_literals;
    constexpr int rounds = 3;
    for (std::uint64_t round = 1; round <= rounds; ++round) {
        EXPECT_EQ(write(2 * round), write_outcome::Accepted);
        {
            const file_size_limit full;
            std::optional<write_outcome> outcome;
            controls.at(waitForLeader())
                .writer->write(std::to_string(2 * round + 1), 2 * round + 1,
                               [&](write_outcome result) { outcome = result; });
            EXPECT_TRUE(until([&] { return outcome.has_value(); }));
            EXPECT_NE(outcome, write_outcome::Accepted);
            EXPECT_TRUE(until([this] { return leader().empty(); }));
            // Longer than an attempt to open the logs again.
            runFor(context, 1200ms);
            EXPECT_TRUE(leader().empty());
        }
        EXPECT_GE(newestVersion(), 2 * round);
    }
    EXPECT_EQ(write(100), write_outcome::Accepted);
    EXPECT_TRUE(entryHas(100));
    EXPECT_TRUE(std::is_sorted(entry().versions.begin(), entry().versions.end()));
}

/// Guards against a confirmation by hosts that cannot know the newest configuration: without a
/// majority no lease is renewed and nothing is read or accepted.
TEST_F(configuration_fleet, MinorityConfirmsNothing)
{
    EXPECT_EQ(write(4), write_outcome::Accepted);
    ASSERT_TRUE(until([&] { return entry().lease->age() < std::chrono::milliseconds(600); }));
    stopControl("127.0.1.1");
    stopControl("127.0.1.2");
    EXPECT_TRUE(until([this] { return leader().empty(); }));
    const auto before = entry().lease->age();
    runFor(context, std::chrono::milliseconds(700));
    EXPECT_GE(entry().lease->age(), before + std::chrono::milliseconds(600));
    EXPECT_FALSE(controls.at("127.0.1.3").service->confirmedConfiguration());
}

/// Guards against a host that uses a confirmation which ended while its machine was suspended, and
/// against an answer that counts from its arrival: the request was sent before the suspension.
TEST_F(configuration_fleet, SuspendedHostHasNoConfirmation)
{
    using namespace std::chrono_literals;
    EXPECT_EQ(write(4), write_outcome::Accepted);
    auto &late = startEntryWithLateAnswer();
    EXPECT_TRUE(until([&] { return late.lease->age() < 2h; }));
    EXPECT_GE(late.lease->age(), 1h);

    ASSERT_TRUE(until([&] { return entry().lease->age() < 600ms; }));
    suspend("127.0.1.20", 1h);
    EXPECT_GE(entry().lease->age(), 1h);
    EXPECT_TRUE(until([&] { return entry().lease->age() < 600ms; }));
}

/// Guards against a list of endpoints that seems to be recent because the answer with it came late,
/// so that the host goes on with endpoints that leave.
TEST_F(configuration_fleet, ListInALateAnswerIsNotRecent)
{
    using namespace std::chrono_literals;
    EXPECT_EQ(write(4), write_outcome::Accepted);
    auto &late = startEntryWithLateAnswer();
    EXPECT_TRUE(until([&] { return late.lease->listAge() < 2h; }));
    EXPECT_GE(late.lease->listAge(), 1h);
}

/// Guards against a leader that returns its configuration as the newest after a suspension in which
/// another host may have been elected.
TEST_F(configuration_fleet, SuspendedLeaderConfirmsNothing)
{
    using namespace std::chrono_literals;
    EXPECT_EQ(write(4), write_outcome::Accepted);
    const auto at = waitForLeader();
    ASSERT_TRUE(controls.at(at).service->isConfirmed());
    suspend(at, 600ms);
    EXPECT_FALSE(controls.at(at).service->isConfirmed());
    EXPECT_FALSE(controls.at(at).service->confirmedConfiguration());
    EXPECT_EQ(newestVersion(), 4U);
}

/// Guards against a host that votes under its old identity with an empty disk, and against one that
/// cannot rejoin after it lost its disk.
TEST_F(configuration_fleet, WipedHostRejoinsAsANewMember)
{
    EXPECT_EQ(write(4), write_outcome::Accepted);
    const auto at = waitForLeader();
    stopControl(at);
    removeData(at);
    startControl(at, false);
    EXPECT_FALSE(controls.at(at).service->isVoter());
    EXPECT_TRUE(until([&] { return controls.at(at).service->isVoter(); }));
    EXPECT_EQ(newestVersion(), 4U);
    ASSERT_TRUE(until([this] { return votersAre(seeds); }));
    // The others may fail one after the other.
    for (const auto &seed : seeds) {
        if (seed != at) {
            stopControl(seed);
            break;
        }
    }
    EXPECT_EQ(newestVersion(), 4U);
}

/// Guards against a host that cannot rejoin after it lost its disk because none of its seeds leads:
/// the next lost disk then costs the majority (seen with Tests/Soak/fault_soak.py --seeds 13).
TEST_F(configuration_fleet, WipedHostFindsTheLeaderThroughAFollower)
{
    EXPECT_EQ(write(4), write_outcome::Accepted);
    const auto leading = waitForLeader();
    std::vector<std::string> followers;
    std::copy_if(seeds.begin(), seeds.end(), std::back_inserter(followers),
                 [&](const std::string &seed) { return seed != leading; });
    stopControl(followers[0]);
    removeData(followers[0]);
    startControl(followers[0], false, followers);
    EXPECT_TRUE(until([&] { return controls.at(followers[0]).service->isVoter(); }));
    ASSERT_TRUE(until([this] { return votersAre(seeds); }));
    EXPECT_EQ(leader(), leading);
    stopControl(followers[1]);
    EXPECT_EQ(newestVersion(), 4U);
}

/// Guards against a join request that is accepted from a host that forwards it without being a
/// member.
TEST_F(configuration_fleet, OnlyMembersForwardJoinRequests)
{
    EXPECT_EQ(write(4), write_outcome::Accepted);
    const auto at = waitForLeader();
    std::vector<std::string> members;
    entry().network->addReceiver([&](const std::string &, const message &content) {
        if (const auto *answer = std::get_if<configuration_lease_answer>(&content))
            members = answer->controlHosts;
    });
    const auto forwardJoin = [this, &at](const std::shared_ptr<peer_network> &network) {
        return until([&] { return network->send(at, join{77, "127.0.1.9"}).hasValue(); });
    };
    ASSERT_TRUE(forwardJoin(entry().network));
    runFor(context, std::chrono::milliseconds(700));
    EXPECT_EQ(members.size(), 3U);
    const auto follower = std::find_if(controls.begin(), controls.end(),
                                       [&](const auto &control) { return control.first != at; });
    ASSERT_TRUE(forwardJoin(follower->second.network));
    EXPECT_TRUE(until([&] { return members.size() == 4; }));
}

/// Guards against a replacement at a new address that does not become a voter, or that nobody
/// finds.
TEST_F(configuration_fleet, HostAtANewAddressReplacesALostOne)
{
    EXPECT_EQ(write(4), write_outcome::Accepted);
    stopControl("127.0.1.1");
    startControl("127.0.1.4", false);
    EXPECT_TRUE(until([this] { return controls.at("127.0.1.4").service->isVoter(); }));
    EXPECT_EQ(write(6), write_outcome::Accepted);
    EXPECT_TRUE(entryHas(6));
}

/// Guards against a replacement that adds a voter beside the lost one: the loss of one more disk,
/// which the fleet must survive, would then leave two of four voters (seen with fleetbench,
/// deploy/days/core-repairs.toml --vary --seed 1).
TEST_F(configuration_fleet, ReplacementToleratesAnotherLoss)
{
    EXPECT_EQ(write(4), write_outcome::Accepted);
    stopControl("127.0.1.1");
    runFor(context, std::chrono::milliseconds(1700));
    startControl("127.0.1.4", false);
    // Users allow 4 s until the replacement is a voter.
    ASSERT_TRUE(until([this] { return votersAre({"127.0.1.2", "127.0.1.3", "127.0.1.4"}); }));
    EXPECT_EQ(write(6), write_outcome::Accepted);
    stopControl("127.0.1.2");
    removeData("127.0.1.2");
    startControl("127.0.1.2", false);
    EXPECT_EQ(newestVersion(), 6U);
    EXPECT_EQ(write(8), write_outcome::Accepted);
}

/// Guards against the same fault in a planned replacement, in which the new host starts before the
/// old one stops.
TEST_F(configuration_fleet, PlannedReplacementToleratesAnotherLoss)
{
    EXPECT_EQ(write(4), write_outcome::Accepted);
    startControl("127.0.1.4", false);
    EXPECT_TRUE(until([this] { return controls.at("127.0.1.4").service->isVoter(); }));
    stopControl("127.0.1.1");
    ASSERT_TRUE(until([this] { return votersAre({"127.0.1.2", "127.0.1.3", "127.0.1.4"}); }));
    stopControl("127.0.1.3");
    removeData("127.0.1.3");
    startControl("127.0.1.3", false);
    EXPECT_EQ(newestVersion(), 4U);
    EXPECT_EQ(write(8), write_outcome::Accepted);
    // The first host restarts and becomes a voter again.
    startControl("127.0.1.1", false);
    EXPECT_TRUE(until([this] {
        return votersAre({"127.0.1.1", "127.0.1.2", "127.0.1.3", "127.0.1.4"});
    }));
}

/// Guards against endpoints that a host keeps using after they left the list, and against lists
/// that are sent completely each time.
TEST(endpoint_catalogue, SendsOnlyChanges)
{
    const core::instant now{std::chrono::hours(1)};
    endpoint_catalogue catalogue(9);
    endpoint_replica replica;
    const auto exchange = [&] {
        endpoint_changes changes;
        catalogue.fill(changes, replica.epoch(), replica.version(), now);
        replica.apply(changes, now);
        return changes;
    };
    EXPECT_EQ(exchange().epoch, 0U);
    const listed_endpoint one{"i1", "s", "10.0.0.1", 80, "dc", 6, false};
    listed_endpoint two{"i2", "s", "10.0.0.2", 80, "dc", 6, false};
    catalogue.update({one, two}, now);
    EXPECT_TRUE(exchange().isComplete);
    EXPECT_EQ(replica.entries().size(), 2U);
    catalogue.update({one, two}, now);
    EXPECT_TRUE(exchange().entries.empty());
    two.isLeaving = true;
    catalogue.update({one, two}, now);
    EXPECT_EQ(exchange().entries, std::vector<listed_endpoint>{two});
    catalogue.update({two}, now);
    EXPECT_EQ(exchange().removed, std::vector<std::string>{"i1"});
    EXPECT_EQ(replica.entries().size(), 1U);

    // A catalogue of another process replaces everything.
    endpoint_catalogue other(10);
    other.update({one}, now);
    endpoint_changes changes;
    other.fill(changes, replica.epoch(), replica.version(), now);
    EXPECT_TRUE(changes.isComplete);
    EXPECT_TRUE(replica.apply(changes, now));
    EXPECT_EQ(replica.entries().begin()->first, "i1");
}

/// Guards against requests that still reach an endpoint which the list shows as leaving, at a host
/// whose answers wait on a full link: by the time of their arrival, their lists seemed to be
/// recent, so the host did not read the platform's list itself (umgodi-warn-grown, with a
/// configuration that grew by 6,000 routes).
TEST(endpoint_replica, AgeCountsFromTheRequest)
{
    using namespace std::chrono_literals;
    const core::instant start{1h};
    endpoint_catalogue catalogue(9);
    endpoint_replica replica;
    EXPECT_FALSE(replica.readAt());
    catalogue.update({{"i1", "s", "10.0.0.1", 80, "dc", 6, false}}, start);
    const auto answerTo = [&](core::instant requestedAt, core::instant answeredAt) {
        endpoint_changes changes;
        catalogue.fill(changes, replica.epoch(), replica.version(), answeredAt);
        replica.apply(changes, requestedAt);
    };
    // Whenever it arrives, the list is not taken to be newer than it was at the request.
    answerTo(start + 300ms, start + 400ms);
    EXPECT_EQ(replica.readAt(), start - 100ms);
    // An answer without changes tells that the list was read again.
    catalogue.update({{"i1", "s", "10.0.0.1", 80, "dc", 6, false}}, start + 500ms);
    answerTo(start + 600ms, start + 650ms);
    EXPECT_EQ(replica.readAt(), start + 450ms);
    // One that took longer makes a list no older than it is known to be.
    answerTo(start + 700ms, start + 5s);
    EXPECT_EQ(replica.readAt(), start + 450ms);
    // A host that led before has read its list before.
    endpoint_catalogue former(8);
    former.update({{"i1", "s", "10.0.0.1", 80, "dc", 6, false}}, start - 20s);
    endpoint_changes changes;
    former.fill(changes, replica.epoch(), replica.version(), start + 1s);
    EXPECT_TRUE(replica.apply(changes, start + 1s));
    EXPECT_EQ(replica.readAt(), start - 20s);
    // Of another process of the deployment; it must not overflow.
    changes.epoch = 7;
    changes.ageMilliseconds = ~std::uint64_t{0};
    EXPECT_TRUE(replica.apply(changes, start + 1s));
    EXPECT_LT(*replica.readAt(), start);
}

/// Guards against lists that fill the links of a large fleet as it starts, and against damaged
/// data that is accepted as a list.
TEST(endpoint_list_codec, RoundTripIsCompact)
{
    std::vector<listed_endpoint> list;
    std::string plain;
    for (std::uint32_t index = 0; index < 3000; ++index) {
        const auto name = core::sha256Hex(std::to_string(index)).substr(0, 8);
        list.push_back({"i-" + name, "quetzal-pool",
                        "10.1." + std::to_string(index / 250) + '.' + std::to_string(index % 250),
                        8389, "kochi-a", 24, index % 7 == 0});
        plain += list.back().incarnation + list.back().service + list.back().ip
            + list.back().dataCentre;
    }
    const auto compressed = compressEndpoints(list);
    EXPECT_LT(compressed.size() * 2, plain.size());
    EXPECT_EQ(decompressEndpoints(compressed), list);
    EXPECT_EQ(decompressEndpoints(compressEndpoints({})), std::vector<listed_endpoint>());
    for (const std::size_t length : {std::size_t{0}, std::size_t{1}, compressed.size() - 1})
        EXPECT_FALSE(decompressEndpoints(compressed.substr(0, length)));
    auto damaged = compressed;
    damaged[damaged.size() / 2] ^= 1;
    EXPECT_FALSE(decompressEndpoints(damaged));
}

/// Guards against a few compressed bytes that use up all memory when they are decompressed.
TEST(endpoint_list_codec, RefusesOversizedContent)
{
    const listed_endpoint large{
        std::string(std::size_t{5} * 1024 * 1024, 'x'), {}, {}, 0, {}, 0, false};
    EXPECT_FALSE(decompressEndpoints(compressEndpoints({large})));
}

/// Guards against a list that is sent again while it is in transit, and against one that is never
/// sent again after its connection was lost.
TEST(endpoint_list_transfers, SendsAgainWhenTheListIsLost)
{
    const core::instant now{std::chrono::hours(1)};
    endpoint_list_transfers transfers;
    EXPECT_FALSE(transfers.isInTransit("a", now));
    transfers.recordSent("a", now);
    EXPECT_TRUE(transfers.isInTransit("a", now + std::chrono::milliseconds(250)));
    EXPECT_FALSE(transfers.isInTransit("b", now + std::chrono::milliseconds(250)));
    const auto lost = now + endpoint_list_transfers::lossTimeout + std::chrono::milliseconds(1);
    EXPECT_FALSE(transfers.isInTransit("a", lost));
    transfers.recordSent("b", lost);
    EXPECT_TRUE(transfers.isInTransit("b", lost));
}

/// Guards against leases whose cost for the leader grows faster than the fleet.
TEST(configuration_lease, LargeFleetsAskLessOften)
{
    using namespace std::chrono_literals;
    const configuration_lease_options options;
    EXPECT_EQ(options.intervalFor(0), 250ms);
    EXPECT_EQ(options.intervalFor(100), 250ms);
    EXPECT_EQ(options.intervalFor(300), 750ms);
    EXPECT_EQ(options.intervalFor(4000), 1000ms);
}

} // namespace quetzalcleat::peer::test
