#include "LibPeer/share_allocator.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <memory>
#include <vector>

namespace core = quetzalcleat::core;
namespace peer = quetzalcleat::peer;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t hostCount = 5;

/// Hosts, a leader that changes, and a network that delays, reorders and loses messages.
class simulated_fleet
{
public:
    simulated_fleet()
    {
        for (std::size_t index = 0; index < hostCount; ++index)
            m_hosts.emplace_back(peer::share_options{}, "host-" + std::to_string(index), 1);
        changeLeader();
    }

    void advance(milliseconds time) { m_now += time; }
    void changeLeader()
    {
        m_allocator = std::make_unique<peer::share_allocator>(peer::share_options{},
                                                              ++m_allocatorId, m_now);
    }
    void request(std::size_t index, std::uint64_t demand)
    {
        m_requests.emplace_back(index, m_hosts[index].makeRequest(demand, m_now));
    }
    void deliverRequest(std::size_t position)
    {
        if (m_requests.empty())
            return;
        const auto chosen
            = m_requests.begin() + static_cast<std::ptrdiff_t>(position % m_requests.size());
        m_grants.emplace_back(chosen->first, m_allocator->handle(chosen->second, m_now));
        m_requests.erase(chosen);
    }
    void deliverGrant(std::size_t position)
    {
        if (m_grants.empty())
            return;
        const auto chosen
            = m_grants.begin() + static_cast<std::ptrdiff_t>(position % m_grants.size());
        m_hosts[chosen->first].handle(chosen->second, m_now);
        m_grants.erase(chosen);
    }
    void lose()
    {
        m_requests.clear();
        m_grants.clear();
    }
    std::uint64_t inUse() const
    {
        std::uint64_t sum = 0;
        for (const auto &host : m_hosts)
            sum += host.share(m_now);
        return sum;
    }
    peer::share_parts share(std::size_t index) const { return m_hosts[index].share(m_now); }
    void renewAll(const std::vector<std::uint64_t> &demands)
    {
        for (std::size_t index = 0; index < hostCount; ++index) {
            request(index, demands[index]);
            deliverRequest(0);
            deliverGrant(0);
        }
        advance(milliseconds(1000));
    }

private:
    core::instant m_now{std::chrono::hours(1)};
    std::vector<peer::share_holder> m_hosts;
    std::uint64_t m_allocatorId = 0;
    std::unique_ptr<peer::share_allocator> m_allocator;
    std::deque<std::pair<std::size_t, peer::share_request>> m_requests;
    std::deque<std::pair<std::size_t, peer::share_grant>> m_grants;
};

} // namespace

// Guards against shares that together exceed the fleet-wide limit when messages are lost, late or
// out of order, hosts are cut off, or the leader changes.
RC_GTEST_PROP(ShareAllocator, SharesInUseNeverExceedTheLimit, ())
{
    simulated_fleet fleet;
    const auto steps = *rc::gen::resize(
        400,
        rc::gen::container<std::vector<std::pair<std::uint8_t, std::uint16_t>>>(rc::gen::pair(
            rc::gen::inRange<std::uint8_t>(0, 16), rc::gen::arbitrary<std::uint16_t>())));
    std::uint64_t most = 0;
    for (const auto &[action, value] : steps) {
        if (action < 5)
            fleet.request(value % hostCount, value / 7);
        else if (action < 9)
            fleet.deliverRequest(value);
        else if (action < 13)
            fleet.deliverGrant(value);
        else if (action < 14)
            fleet.advance(milliseconds(value % 4000));
        else if (action < 15 && value % 4 == 0)
            fleet.lose();
        else if (value % 4 == 0)
            fleet.changeLeader();
        most = std::max(most, fleet.inUse());
        RC_ASSERT(fleet.inUse() <= peer::wholeShare);
    }
    RC_CLASSIFY(most > peer::wholeShare / 2, "more than half in use");
}

// Guards against a limit that stays unused, or does not follow demand.
TEST(ShareAllocator, SharesFollowDemand)
{
    simulated_fleet fleet;
    for (int round = 0; round < 12; ++round)
        fleet.renewAll({100, 100, 100, 100, 100});
    EXPECT_GT(fleet.inUse(), peer::wholeShare / 100 * 99);
    for (int round = 0; round < 12; ++round)
        fleet.renewAll({900, 25, 25, 25, 25});
    EXPECT_GT(fleet.share(0), peer::wholeShare / 100 * 80);
    EXPECT_GT(fleet.share(1), peer::wholeShare / 100);
}

// Guards against a change of leader that leaves every host without a share for a lease time.
TEST(ShareAllocator, SharesStayInUseAcrossAChangeOfLeader)
{
    simulated_fleet fleet;
    for (int round = 0; round < 12; ++round)
        fleet.renewAll({100, 100, 100, 100, 100});
    const auto before = fleet.inUse();
    fleet.changeLeader();
    for (int round = 0; round < 12; ++round) {
        fleet.renewAll({100, 100, 100, 100, 100});
        if (round == 0)
            continue; // Grants nothing: the requests do not name the new allocator yet.
        EXPECT_GE(fleet.inUse(), before / 100 * 99);
    }
}

// Guards against a host that is cut off and uses its share for ever.
TEST(ShareAllocator, ShareExpiresInAPartition)
{
    simulated_fleet fleet;
    for (int round = 0; round < 12; ++round)
        fleet.renewAll({100, 100, 100, 100, 100});
    EXPECT_GT(fleet.share(2), 0U);
    fleet.advance(milliseconds(6000));
    EXPECT_EQ(fleet.inUse(), 0U);
}

// Guards against a new leader that renews a share on a request that was sent before it led. The
// share expired while the request was in transit, and the predecessor granted it to another host.
TEST(ShareAllocator, RequestOlderThanTheAllocatorIsNotGranted)
{
    simulated_fleet fleet;
    for (int round = 0; round < 12; ++round) {
        fleet.request(0, 1);
        fleet.deliverRequest(0);
        fleet.deliverGrant(0);
        fleet.advance(milliseconds(round == 11 ? 5300 : 1000));
    }
    ASSERT_EQ(fleet.share(0), peer::wholeShare);
    fleet.request(0, 1);
    fleet.advance(milliseconds(800));
    for (int round = 0; round < 2; ++round) {
        fleet.request(1, 1);
        fleet.deliverRequest(1);
        fleet.deliverGrant(0);
    }
    ASSERT_EQ(fleet.share(1), peer::wholeShare);
    fleet.changeLeader();
    fleet.deliverRequest(0);
    fleet.deliverGrant(0);
    EXPECT_EQ(fleet.share(0), 0U);
    EXPECT_EQ(fleet.inUse(), peer::wholeShare);
}
