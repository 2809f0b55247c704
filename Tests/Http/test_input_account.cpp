#include "LibHttp/input_account.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

using namespace quetzalcleat::http;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kibibyte = 1024;

class input_account_fixture : public testing::Test
{
protected:
    using connection_pointer = std::shared_ptr<input_account::connection>;

    connection_pointer open()
    {
        const auto number = m_closed.size();
        m_closed.push_back(false);
        return m_account->open([this, number] { m_closed[number] = true; }, m_now);
    }

    bool receive(const connection_pointer &connection, std::size_t bytes)
    {
        return connection->receive(std::string(bytes, 'x'), m_now);
    }

    input_account::instant m_now;
    std::vector<bool> m_closed; ///< Of each connection, in the order of opening.
    std::vector<closing_reason> m_reasons;
    std::shared_ptr<input_account> m_account = std::make_shared<input_account>(
        input_limits{.bytes = 1000 * kibibyte, .headTime = 10s, .bodyBytesPerSecond = 1000},
        [this](closing_reason reason) { m_reasons.push_back(reason); });
};

} // namespace

/// Guards against unfinished bodies that together exceed the account, and against the loss of an
/// older body to a newer one.
TEST_F(input_account_fixture, TheNewestUnfinishedBodyIsClosedFirst)
{
    const auto first = open();
    const auto second = open();
    EXPECT_TRUE(receive(first, 200 * kibibyte));
    EXPECT_TRUE(receive(second, 150 * kibibyte));
    EXPECT_TRUE(receive(first, 100 * kibibyte));
    EXPECT_EQ(m_closed, (std::vector<bool>{false, true}));
    EXPECT_EQ(m_reasons, (std::vector<closing_reason>{closing_reason::Memory}));
    EXPECT_EQ(m_account->heldBytes(), 2 * 300 * kibibyte);
    EXPECT_FALSE(receive(second, 1));
}

/// Guards against requests in flight that fill the account and lock out small requests, and against
/// their being closed in favour of new ones.
TEST_F(input_account_fixture, SmallRequestsUseTheReserve)
{
    const auto first = open();
    EXPECT_TRUE(receive(first, 390 * kibibyte));
    auto inFlight = first->completeRequest();
    const auto large = open();
    EXPECT_FALSE(receive(large, 70 * kibibyte));
    const auto small = open();
    EXPECT_TRUE(receive(small, kibibyte));
    EXPECT_EQ(m_closed, (std::vector<bool>{false, true, false}));
    inFlight = {};
    EXPECT_EQ(m_account->heldBytes(), 2 * kibibyte);
}

/// Guards against heads that never end, and against closing an idle connection or one whose body
/// arrives at the permitted rate.
TEST_F(input_account_fixture, SlowHeadsAndBodiesAreClosed)
{
    const auto silent = open();
    const auto idle = open();
    const auto slow = open();
    const auto steady = open();
    const std::string head = "POST / HTTP/1.1\r\nContent-Length: 40000\r\n\r\n";
    EXPECT_TRUE(idle->receive("GET / HTTP/1.1\r\n\r\n", m_now));
    static_cast<void>(idle->completeRequest());
    EXPECT_TRUE(slow->receive(head, m_now));
    EXPECT_TRUE(steady->receive(head, m_now));
    EXPECT_TRUE(receive(steady, 20'000));
    m_now += 10s;
    m_account->closeSlow(m_now);
    EXPECT_TRUE(m_reasons.empty());
    m_now += 5s;
    m_account->closeSlow(m_now);
    EXPECT_EQ(m_closed, (std::vector<bool>{true, false, true, false}));
    EXPECT_EQ(m_reasons,
              (std::vector<closing_reason>{closing_reason::HeadTime, closing_reason::BodyRate}));
}

/// Guards against an account that keeps the memory of connections that have ended.
TEST_F(input_account_fixture, EndedConnectionsHoldNothing)
{
    {
        const auto connection = open();
        EXPECT_TRUE(receive(connection, 100 * kibibyte));
        const auto answer = input_account::charge(*m_account, kibibyte);
        EXPECT_EQ(m_account->heldBytes(), 201 * kibibyte);
    }
    EXPECT_EQ(m_account->heldBytes(), 0U);
    EXPECT_FALSE(m_account->makeRoom(1001 * kibibyte));
}
