#include "LibPeer/peer_error.h"
#include "LibPeer/share_allocator.h"
#include "LibState/state_error.h"
#include "test_cluster.h"

#include <iostream>

namespace peer = quetzalcleat::peer;
namespace state = quetzalcleat::state;
using peer::test::runFor;
using std::chrono::milliseconds;

using control = peer::test::test_cluster;

namespace {

state::edit makeEdit(const std::string &id, std::uint64_t base)
{
    return {id, base, "document " + id, "operator"};
}

} // namespace

// Guards against an accepted edit that is not in force on every host, against revisions that do
// not strictly grow in a process, and against a resend or a conflict that is decided again.
TEST_F(control, EditIsInForceOnEveryHost)
{
    startAll();
    ASSERT_TRUE(until([&] { return allHaveRevision(1); }));
    const auto accepted = edit("e1", makeEdit("first", 1));
    ASSERT_TRUE(accepted) << accepted.error().message();
    EXPECT_EQ(accepted.value().kind, state::edit_verdict_kind::Accepted);
    const auto revision = accepted.value().revision;
    ASSERT_TRUE(until([&] { return allHaveRevision(revision); }));
    ASSERT_TRUE(until([&] {
        const auto status = client("e2").status();
        return !status.stale && !status.leader.empty() && status.hosts.size() == 7
            && std::all_of(status.hosts.begin(), status.hosts.end(),
                           [&](const auto &host) { return host.revision == revision; });
    }));

    const auto again = edit("e3", makeEdit("first", 1));
    ASSERT_TRUE(again);
    EXPECT_EQ(again.value().kind, state::edit_verdict_kind::Accepted);
    EXPECT_EQ(again.value().revision, revision);
    const auto conflict = edit("e2", makeEdit("second", 1));
    ASSERT_TRUE(conflict);
    EXPECT_EQ(conflict.value().kind, state::edit_verdict_kind::Conflict);
    for (const auto &[name, host] : hosts) {
        EXPECT_TRUE(
            std::is_sorted(host.revisions.begin(), host.revisions.end(), std::less_equal<>()))
            << name;
        EXPECT_EQ(host.revisions.back(), revision) << name;
    }
}

// Guards against a key that is granted twice when several hosts claim it at the same time.
TEST_F(control, KeyIsGrantedOnce)
{
    startAll();
    ASSERT_TRUE(until([&] { return allHaveRevision(1); }));
    constexpr std::size_t keys = 40;
    std::map<std::string, int> granted;
    std::size_t answers = 0;
    for (std::size_t index = 0; index < keys; ++index) {
        for (const std::string host : {"e1", "e2", "e3", "c1"}) {
            const auto key = "key-" + std::to_string(index);
            client(host).claim(request(host, key), callTimeout, [&, key](auto verdict) {
                ++answers;
                ASSERT_TRUE(verdict) << verdict.error().message();
                granted[key] += verdict.value().kind == state::claim_verdict_kind::Granted ? 1 : 0;
            });
        }
    }
    ASSERT_TRUE(until([&] { return answers == 4 * keys; }));
    EXPECT_EQ(granted.size(), keys);
    for (const auto &[key, count] : granted)
        EXPECT_EQ(count, 1) << key;
}

// Guards against a claim that is granted twice, or an accepted edit that is lost, when the leader
// crashes while proposals are under way; and against a cluster that does not recover.
TEST_F(control, LossOfTheLeaderLosesAndRepeatsNothing)
{
    startAll();
    ASSERT_TRUE(until([&] { return allHaveRevision(1) && !leader().empty(); }));
    ASSERT_TRUE(edit("e1", makeEdit("before", 1)));
    const auto killed = leader();
    std::map<std::string, int> granted;
    std::size_t answers = 0;
    constexpr std::size_t keys = 30;
    for (std::size_t index = 0; index < keys; ++index) {
        for (const std::string host : {"e1", "e2"}) {
            const auto key = "key-" + std::to_string(index);
            client(host).claim(request(host, key), callTimeout, [&, key](auto verdict) {
                ++answers;
                if (verdict && verdict.value().kind == state::claim_verdict_kind::Granted)
                    ++granted[key];
            });
        }
        runFor(context, milliseconds(1));
        if (index == keys / 2)
            stopHost(killed);
    }
    ASSERT_TRUE(until([&] { return answers == 2 * keys; }));
    EXPECT_EQ(granted.size(), keys);
    for (const auto &[key, count] : granted)
        EXPECT_EQ(count, 1) << key;

    const auto after = edit("e2", makeEdit("after", 2));
    ASSERT_TRUE(after) << after.error().message();
    EXPECT_EQ(after.value().kind, state::edit_verdict_kind::Accepted);
    startHost(killed);
    EXPECT_TRUE(until([&] { return allHaveRevision(3); }));
}

// Guards against a minority that decides, or that refuses requests whose outcome it cannot know.
TEST_F(control, IsolatedMinorityAnswersUndecided)
{
    startAll();
    ASSERT_TRUE(until([&] { return allHaveRevision(1) && !leader().empty(); }));
    const auto isolated = leader();
    const auto entry = isolated == "c1" ? "e1" : "e2";
    setIsolated({isolated, entry}, true);
    for (const auto &host : {isolated, std::string(entry)}) {
        const auto verdict = edit(host, makeEdit("minority " + host, 1), milliseconds(1500));
        EXPECT_EQ(verdict.error(), peer::peer_error::Undecided);
        EXPECT_EQ(claim(request(host, "key"), milliseconds(500)).error(),
                  peer::peer_error::Undecided);
    }
    EXPECT_TRUE(until([&] { return client(entry).status().stale; }));

    const auto majority = edit("e3", makeEdit("majority", 1));
    ASSERT_TRUE(majority) << majority.error().message();
    ASSERT_EQ(majority.value().kind, state::edit_verdict_kind::Accepted);
    EXPECT_EQ(client(entry).status().revision, 1U);
    setIsolated({isolated, entry}, false);
    ASSERT_TRUE(until([&] { return allHaveRevision(2); }));
    EXPECT_EQ(edit(entry, makeEdit("minority " + isolated, 1)).value().kind,
              state::edit_verdict_kind::Conflict);
    // The attempts of the minority were abandoned, so they do not keep the key.
    EXPECT_TRUE(until([&] {
        const auto verdict = claim(request("e3", "key"));
        return verdict && verdict.value().kind == state::claim_verdict_kind::Granted;
    }));
}

// Guards against answers, claims or accepted edits that are forgotten when all processes restart.
TEST_F(control, StateSurvivesARestartOfAllHosts)
{
    startAll();
    ASSERT_TRUE(until([&] { return allHaveRevision(1); }));
    ASSERT_TRUE(edit("e1", makeEdit("kept", 1)));
    const auto finished = request("e1", "finished");
    ASSERT_EQ(claim(finished).value().kind, state::claim_verdict_kind::Granted);
    const state::stored_response answer{201, "text/plain", "crew 7 is booked", false};
    client("e1").finishClaim({finished.attempt, true, answer});
    ASSERT_EQ(claim(request("e1", "running")).value().kind, state::claim_verdict_kind::Granted);
    ASSERT_TRUE(until([&] {
        return claim(request("e2", "finished")).value().kind == state::claim_verdict_kind::Finished;
    }));
    for (const auto &[name, host] : hosts)
        stopHost(name);
    for (const auto &[name, host] : hosts)
        startHost(name);
    ASSERT_TRUE(until([&] { return allHaveRevision(2); }));
    const auto duplicate = claim(request("e2", "finished"));
    ASSERT_TRUE(duplicate);
    EXPECT_EQ(duplicate.value().kind, state::claim_verdict_kind::Finished);
    EXPECT_EQ(duplicate.value().answer, answer);
    // The owner's process has ended: it may have sent the call, so the outcome is unknown.
    EXPECT_TRUE(until([&] {
        return claim(request("e2", "running")).value().kind
            == state::claim_verdict_kind::OutcomeUnknown;
    }));
}

// Guards against a host that gets no claims, shares or registration until its clock has caught up,
// because it was set back before the process started again.
TEST_F(control, HostWhoseClockWasSetBackClaimsAgain)
{
    using std::chrono::duration_cast;
    using std::chrono::microseconds;
    constexpr std::uint64_t firstStart = 1'800'000'000'000'000;
    std::uint64_t highest = 0;
    startAll();
    ASSERT_TRUE(until([&] { return allHaveRevision(1); }));
    for (const auto setBack : {std::chrono::seconds(1), std::chrono::seconds(30),
                               std::chrono::seconds(std::chrono::hours(24))}) {
        stopHost("e3");
        const auto start = std::max(firstStart, highest);
        startHost("e3", false, start);
        const auto before = request("e3", "before-" + std::to_string(setBack.count()));
        const auto granted = claim(before);
        ASSERT_TRUE(granted) << granted.error().message();
        ASSERT_EQ(granted.value().kind, state::claim_verdict_kind::Granted);
        highest = client("e3").incarnation() + 1;
        stopHost("e3");
        startHost("e3", false, start - duration_cast<microseconds>(setBack).count());
        ASSERT_TRUE(until([&] { return client("e3").incarnation() > start; }));
        const auto after = claim(request("e3", "after-" + std::to_string(setBack.count())));
        ASSERT_TRUE(after) << after.error().message();
        EXPECT_EQ(after.value().kind, state::claim_verdict_kind::Granted);
        // The call of the earlier process may have run.
        const auto duplicate = claim(request("e1", "before-" + std::to_string(setBack.count())));
        ASSERT_TRUE(duplicate);
        EXPECT_EQ(duplicate.value().kind, state::claim_verdict_kind::OutcomeUnknown);
        highest = std::max(highest, client("e3").incarnation() + 1);
        ASSERT_TRUE(until([&] { return client("e3").leasedShare() > 0; }));
    }
}

// Guards against a replaced process that takes its host over again: only a process that was never
// registered may raise its number.
TEST_F(control, ReplacedProcessStaysReplaced)
{
    startAll();
    ASSERT_TRUE(until([&] { return allHaveRevision(1); }));
    ASSERT_TRUE(claim(request("e1", "key")));
    const auto before = client("e1").incarnation();
    // A later process of the host registers through another one.
    auto later = request("e2", "later");
    later.attempt.host = "e1";
    later.attempt.hostIncarnation = before + 1000;
    std::optional<quetzalcleat::core::result<state::claim_verdict>> verdict;
    client("e2").claim(later, callTimeout, [&](auto result) { verdict = result; });
    ASSERT_TRUE(until([&] { return verdict.has_value(); }));
    const auto refused = claim(request("e1", "other key"));
    EXPECT_FALSE(refused);
    runFor(context, milliseconds(500));
    EXPECT_EQ(client("e1").incarnation(), before);
}

// Guards against a grant that arrives after the call has timed out and is delivered, or keeps the
// key locked.
TEST_F(control, LateGrantIsAbandoned)
{
    startAll();
    ASSERT_TRUE(until([&] { return allHaveRevision(1) && !client("e3").status().stale; }));
    setDelay("e3", milliseconds(150));
    int answers = 0;
    client("e3").claim(request("e3", "key"), milliseconds(100), [&](auto verdict) {
        ++answers;
        EXPECT_EQ(verdict.error(), peer::peer_error::Undecided);
    });
    ASSERT_TRUE(until([&] { return answers == 1; }));
    setDelay("e3", milliseconds(0));
    EXPECT_TRUE(until([&] {
        const auto verdict = claim(request("e1", "key"));
        return verdict && verdict.value().kind == state::claim_verdict_kind::Granted;
    }));
    EXPECT_EQ(answers, 1);
}

// Guards against a grant that is used after its call has run out while the machine was suspended,
// and against one that keeps the key locked. The time limit of the call is far longer than the
// test, so that only the suspension can end it.
TEST_F(control, SuspendedHostUsesNoGrant)
{
    startAll();
    ASSERT_TRUE(until([&] { return allHaveRevision(1) && !client("e3").status().stale; }));
    constexpr std::chrono::hours timeout{1};
    for (int index = 0; index < 20; ++index) {
        const auto key = "key-" + std::to_string(index);
        int answers = 0;
        client("e3").claim(request("e3", key), timeout, [&](auto verdict) {
            ++answers;
            EXPECT_EQ(verdict.error(), peer::peer_error::Undecided);
        });
        hosts["e3"].suspended += timeout;
        ASSERT_TRUE(until([&] { return answers == 1; }));
        EXPECT_TRUE(until([&] {
            const auto verdict = claim(request("e1", key));
            return verdict && verdict.value().kind == state::claim_verdict_kind::Granted;
        }));
        EXPECT_EQ(answers, 1);
    }
}

// Guards against a share of a fleet-wide limit that is used after its lease has ended while the
// machine was suspended.
TEST_F(control, SuspendedHostHasNoShare)
{
    startAll();
    ASSERT_TRUE(until([&] { return client("e1").leasedShare() > 0; }));
    hosts["e1"].suspended += peer::share_options{}.leaseTime;
    EXPECT_EQ(client("e1").leasedShare(), 0);
    EXPECT_TRUE(until([&] { return client("e1").leasedShare() > 0; }));
}

// Guards against a diskless host that restarts in a data centre without a link to the others and
// runs without a configuration, or with an older one than its peers have.
TEST_F(control, RestartedHostInCutOffDataCentreTakesRevisionFromPeer)
{
    startAll();
    ASSERT_TRUE(until([&] { return allHaveRevision(1); }));
    ASSERT_TRUE(edit("e1", makeEdit("newest", 1)));
    ASSERT_TRUE(until([&] { return allHaveRevision(2); }));
    setIsolated({"e3", "e4"}, true);
    stopHost("e4");
    startHost("e4");
    EXPECT_TRUE(until([&] { return client("e4").status().revision == 2; }));
    EXPECT_TRUE(client("e4").status().stale);
    EXPECT_EQ(hosts["e4"].revisions, std::vector<std::uint64_t>{2});

    ASSERT_TRUE(edit("e1", makeEdit("missed", 2)));
    setIsolated({"e3", "e4"}, false);
    EXPECT_TRUE(until([&] { return allHaveRevision(3) && !client("e4").status().stale; }));
}

// Guards against a control host with an emptied disk that votes under its old identity, or that
// never becomes a voter again.
TEST_F(control, EmptiedControlHostIsReplacedByANewMember)
{
    startAll();
    ASSERT_TRUE(until([&] { return allHaveRevision(1) && !leader().empty(); }));
    const std::string emptied = leader() == "c3" ? "c2" : "c3";
    stopHost(emptied);
    emptyDataFolder(emptied);
    ASSERT_TRUE(edit("e1", makeEdit("while away", 1)));
    startHost(emptied);
    ASSERT_TRUE(until([&] { return allHaveRevision(2); }));
    // Once it counts as a voter, it makes a majority with one of the other two.
    std::uint64_t base = 2;
    const auto other = emptied == "c3" ? "c2" : "c3";
    ASSERT_TRUE(until([&] { return isVoter(emptied); }));
    stopHost(leader() == "c1" ? "c1" : other);
    const auto accepted = edit("e3", makeEdit("with the new member", base));
    ASSERT_TRUE(accepted) << accepted.error().message();
    EXPECT_EQ(accepted.value().kind, state::edit_verdict_kind::Accepted);
}

// Guards against shares of the fleet-wide limits that exceed the limit during a partition, or that
// no host gets.
TEST_F(control, SharesOfLimitsExpireInAPartition)
{
    startAll();
    const auto sum = [&] {
        double total = 0;
        for (const auto &[name, host] : hosts)
            total += client(name).leasedShare();
        EXPECT_LE(total, 1.000001);
        return total;
    };
    for (const auto &[name, host] : hosts)
        client(name).reportDemand(10);
    ASSERT_TRUE(until([&] { return sum() > 0.99; }));
    setIsolated({"e3", "e4"}, true);
    ASSERT_TRUE(until([&] {
        return sum() > 0.99 && client("e3").leasedShare() == 0 && client("e4").leasedShare() == 0;
    }));
    setIsolated({"e3", "e4"}, false);
    EXPECT_TRUE(until([&] { return sum() > 0.99 && client("e3").leasedShare() > 0.05; }));
}

// Guards against control traffic of an idle fleet above 5 KB/s per host. The time window is not
// exact on a slow machine, which can only lower the figure.
TEST_F(control, IdleTrafficIsSmall)
{
    startAll();
    ASSERT_TRUE(until([&] { return allHaveRevision(1) && !leader().empty(); }));
    runFor(context, milliseconds(2000));
    const auto before = forwardedBytes();
    runFor(context, milliseconds(4000));
    const auto perHost
        = static_cast<double>(forwardedBytes() - before) / 4.0 / static_cast<double>(hosts.size());
    std::cout << perHost << " bytes per second and host with " << hosts.size() << " hosts\n";
    // Each byte is sent by one host and received by another one.
    EXPECT_LT(perHost, 5000);
}

// Guards against a log that grows without bound, and against a member that gets its state from a
// snapshot and lacks part of it, also after a restart.
TEST_F(control, MemberCatchesUpFromASnapshot)
{
    snapshotEntries = 300;
    startAll();
    ASSERT_TRUE(until([&] { return allHaveRevision(1) && !leader().empty(); }));
    const std::string emptied = leader() == "c3" ? "c2" : "c3";
    stopHost(emptied);
    emptyDataFolder(emptied);
    // More than the entries that are kept behind a snapshot.
    constexpr std::size_t claims = 2500;
    std::size_t granted = 0;
    for (std::size_t index = 0; index < claims; ++index) {
        client("e1").claim(request("e1", "key-" + std::to_string(index)), callTimeout,
                           [&](auto verdict) { granted += verdict ? 1 : 0; });
    }
    ASSERT_TRUE(until([&] { return granted == claims; }));
    ASSERT_TRUE(
        until([&] { return hasSnapshot("c1") && hasSnapshot(emptied == "c3" ? "c2" : "c3"); }));
    // A further snapshot covers the last claims.
    runFor(context, milliseconds(1000));
    startHost(emptied);
    ASSERT_TRUE(until([&] { return isVoter(emptied) && allHaveRevision(1); }));

    // All state has to come from the new member and one of the others.
    for (const auto &[name, host] : hosts)
        stopHost(name);
    const std::string lost = emptied == "c3" ? "c2" : "c3";
    for (const auto &[name, host] : hosts) {
        if (name != lost)
            startHost(name);
    }
    ASSERT_TRUE(until([&] { return allHaveRevision(1) && !leader().empty(); }));
    const auto duplicate = claim(request("e2", "key-7"));
    ASSERT_TRUE(duplicate) << duplicate.error().message();
    EXPECT_NE(duplicate.value().kind, state::claim_verdict_kind::Granted);
}
