#include "LibPeer/gossip_core.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>
#include <set>

namespace core = quetzalcleat::core;
namespace peer = quetzalcleat::peer;
using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t seed = 20261204;
constexpr milliseconds step{50};

std::string hostName(std::size_t index)
{
    return "host-" + std::to_string(index);
}

/// Hosts of one data centre in virtual time.
class simulated_data_centre
{
public:
    simulated_data_centre(std::size_t count, double lossRate) : m_random(seed), m_lossRate(lossRate)
    {
        for (std::size_t index = 0; index < count; ++index)
            m_names.push_back(hostName(index));
        for (std::size_t index = 0; index < count; ++index)
            start(index, 1);
    }

    void start(std::size_t index, std::uint64_t incarnation)
    {
        m_hosts[hostName(index)] = std::make_unique<peer::gossip_core>(
            peer::gossip_options{}, hostName(index), incarnation, seed + index, now);
        m_hosts[hostName(index)]->setHosts(m_names, now);
        stopped.erase(hostName(index));
    }

    void advance()
    {
        now += step;
        std::vector<std::pair<std::string, peer::gossip_send>> sends;
        for (auto &[name, core] : m_hosts) {
            if (stopped.contains(name))
                continue;
            core->tick(now);
            collect(name);
        }
        // Messages of one step arrive after the step in which they were sent.
        const auto inFlight = std::exchange(m_inFlight, {});
        for (const auto &[from, send] : inFlight) {
            if (stopped.contains(send.host) || cutLinks.contains({from, send.host})
                || std::uniform_real_distribution<>(0, 1)(m_random) < m_lossRate)
                continue;
            ++messages;
            m_hosts[send.host]->receive(from, send.content, now);
            collect(send.host);
        }
    }

    void advance(milliseconds time)
    {
        for (milliseconds passed{0}; passed < time; passed += step) {
            advance();
            countFalsePositives();
        }
    }

    /// Time until every live host considers the host dead; at most a minute.
    milliseconds timeUntilDead(const std::string &host)
    {
        milliseconds passed{0};
        while (passed < milliseconds(60'000)) {
            advance();
            passed += step;
            const bool known = std::all_of(m_hosts.begin(), m_hosts.end(), [&](const auto &entry) {
                return entry.first == host || stopped.contains(entry.first)
                    || !entry.second->isAlive(host);
            });
            if (known)
                return passed;
        }
        return passed;
    }

    peer::gossip_core &host(std::size_t index) { return *m_hosts[hostName(index)]; }

    core::instant now{std::chrono::hours(1)};
    std::set<std::string> stopped;
    std::set<std::pair<std::string, std::string>> cutLinks;
    std::uint64_t messages = 0;
    std::set<std::pair<std::string, std::string>> falsePositives;

private:
    void collect(const std::string &name)
    {
        for (auto &send : m_hosts[name]->takeSends())
            m_inFlight.emplace_back(name, std::move(send));
    }

    void countFalsePositives()
    {
        for (const auto &[name, core] : m_hosts) {
            for (const auto &[member, view] : core->members()) {
                if (view.update.state == peer::member_state::Dead && !stopped.contains(member))
                    falsePositives.emplace(name, member);
            }
        }
    }

    std::minstd_rand m_random;
    double m_lossRate;
    std::vector<std::string> m_names;
    std::map<std::string, std::unique_ptr<peer::gossip_core>> m_hosts;
    std::vector<std::pair<std::string, peer::gossip_send>> m_inFlight;
};

class data_centre_size : public testing::TestWithParam<std::size_t>
{
};

} // namespace

// Guards against traffic per host that grows with the number of hosts.
TEST_P(data_centre_size, MessagesPerHostDoNotGrow)
{
    simulated_data_centre dataCentre(GetParam(), 0);
    dataCentre.advance(milliseconds(5000));
    dataCentre.messages = 0;
    dataCentre.advance(milliseconds(20'000));
    const double perHost
        = static_cast<double>(dataCentre.messages) / 20.0 / static_cast<double>(GetParam());
    std::cout << GetParam() << " hosts: " << perHost << " messages per host and second\n";
    EXPECT_LT(perHost, 4.0);
    EXPECT_GT(perHost, 1.0);
}

// Guards against a crashed host that stays listed as alive.
TEST_P(data_centre_size, CrashIsDetected)
{
    simulated_data_centre dataCentre(GetParam(), 0);
    dataCentre.advance(milliseconds(30'000));
    dataCentre.stopped.insert(hostName(1));
    const auto time = dataCentre.timeUntilDead(hostName(1));
    std::cout << GetParam() << " hosts: all know after " << time.count() << " ms\n";
    EXPECT_LT(time, milliseconds(35'000));
}

// Guards against lost messages that make live hosts count as dead.
TEST_P(data_centre_size, LossOfMessagesCausesNoFalsePositive)
{
    simulated_data_centre dataCentre(GetParam(), 0.05);
    dataCentre.advance(milliseconds(60'000));
    std::cout << GetParam() << " hosts: " << dataCentre.falsePositives.size()
              << " false positives in 60 s with 5 in 100 messages lost\n";
    EXPECT_TRUE(dataCentre.falsePositives.empty());
}

INSTANTIATE_TEST_SUITE_P(Sizes, data_centre_size, testing::Values(9, 410));

// Guards against a host that is declared dead because a single link to it is cut.
TEST(Gossip, IndirectProbesKeepHostBehindOneCutLinkAlive)
{
    simulated_data_centre dataCentre(9, 0);
    dataCentre.cutLinks = {{hostName(0), hostName(1)}, {hostName(1), hostName(0)}};
    dataCentre.advance(milliseconds(60'000));
    EXPECT_TRUE(dataCentre.falsePositives.empty());
}

// Guards against a restarted host whose peers still consider it dead, or know only its earlier
// incarnation.
TEST(Gossip, RestartedHostIsAliveAgainWithItsNewIncarnation)
{
    simulated_data_centre dataCentre(9, 0);
    dataCentre.advance(milliseconds(5000));
    dataCentre.stopped.insert(hostName(3));
    (void)dataCentre.timeUntilDead(hostName(3));
    dataCentre.start(3, 2);
    dataCentre.advance(milliseconds(20'000));
    for (std::size_t index = 0; index < 9; ++index) {
        if (index == 3)
            continue;
        ASSERT_NE(dataCentre.host(index).find(hostName(3)), nullptr);
        EXPECT_TRUE(dataCentre.host(index).isAlive(hostName(3)));
        EXPECT_EQ(dataCentre.host(index).find(hostName(3))->update.incarnation, 2U);
    }
}

// Guards against the two sides of a partition that never find each other again.
TEST(Gossip, PartitionHeals)
{
    simulated_data_centre dataCentre(9, 0);
    for (std::size_t left = 0; left < 4; ++left) {
        for (std::size_t right = 4; right < 9; ++right) {
            dataCentre.cutLinks.insert({hostName(left), hostName(right)});
            dataCentre.cutLinks.insert({hostName(right), hostName(left)});
        }
    }
    dataCentre.advance(milliseconds(40'000));
    EXPECT_FALSE(dataCentre.host(0).isAlive(hostName(8)));
    dataCentre.cutLinks.clear();
    dataCentre.advance(milliseconds(40'000));
    for (std::size_t from = 0; from < 9; ++from) {
        for (std::size_t to = 0; to < 9; ++to)
            EXPECT_TRUE(from == to || dataCentre.host(from).isAlive(hostName(to))) << from << to;
    }
}

// Guards against a newer revision that does not become known in the data centre, or that
// decreases when an old update arrives late.
TEST(Gossip, RevisionSpreadsAndOnlyGrows)
{
    simulated_data_centre dataCentre(9, 0);
    dataCentre.host(0).setRevision(7);
    dataCentre.advance(milliseconds(3000));
    for (std::size_t index = 1; index < 9; ++index)
        EXPECT_EQ(dataCentre.host(index).hostWithNewerRevision(), hostName(0));
    dataCentre.host(1).receive(hostName(2),
                               {peer::gossip_kind::Acknowledge,
                                0,
                                {},
                                {{hostName(0), peer::member_state::Alive, 1, 0, 3}}},
                               dataCentre.now);
    EXPECT_EQ(dataCentre.host(1).find(hostName(0))->update.revision, 7U);
    dataCentre.host(1).setRevision(7);
    EXPECT_EQ(dataCentre.host(1).hostWithNewerRevision(), "");
}
