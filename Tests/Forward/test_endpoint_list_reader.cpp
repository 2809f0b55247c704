#include "LibForward/endpoint_list_reader.h"
#include "answer_cases.h"
#include "forwarder_fixture.h"

#include <memory>
#include <string>
#include <vector>

namespace quetzalcleat::forward::test {

namespace {

using quetzalcleat::test::answer_case;

/// The list names one endpoint, whose incarnation is the whole text.
struct one_endpoint_dialect
{
    static std::string endpointListTarget(const std::string & /*token*/) { return "/list"; }

    static core::result<endpoint_list_page> readEndpointListPage(const std::string &text)
    {
        endpoint_list_page page;
        page.endpoints.push_back({text, "service", {"127.0.0.1", 1}, "dc", 1, false});
        return page;
    }
};

} // namespace

class list_answer_test : public forwarder_test, public ::testing::WithParamInterface<answer_case>
{
protected:
    using reader = endpoint_list_reader<one_endpoint_dialect>;

    void SetUp() override
    {
        forwarder_test::SetUp();
        endpoint_list_reader_options options;
        options.address = {"127.0.0.1", m_platform.port()};
        options.interval = std::chrono::milliseconds(20);
        inLoop([&] {
            m_reader = std::make_shared<reader>(
                m_forwarder->pool(), m_log, options,
                [this](const std::vector<listed_endpoint> &endpoints, core::instant) {
                    m_lists.push_back(endpoints.front().incarnation);
                });
            m_reader->start();
        });
    }

    void TearDown() override
    {
        inLoop([this] { m_reader->stop(); });
        forwarder_test::TearDown();
    }

    /// The lists that were read so far.
    std::vector<std::string> lists()
    {
        std::vector<std::string> result;
        inLoop([&] { result = m_lists; });
        return result;
    }

    scripted_listener m_platform;
    std::shared_ptr<reader> m_reader;
    std::vector<std::string> m_lists;
};

class broken_list_answer : public list_answer_test
{
};

/// Guards against a list that is taken from a broken answer of the platform.
TEST_P(broken_list_answer, IsReadAgain)
{
    auto first = m_platform.accept();
    first.readMessage();
    first.send(GetParam().bytes);
    EXPECT_TRUE(first.waitForClose()) << "the connection stays open";
    auto second = m_platform.accept();
    second.readMessage();
    EXPECT_TRUE(lists().empty());
    second.send(signedResponse("list"));
    second.readMessage(); // The next read.
    EXPECT_EQ(lists().front(), "list");
    inLoop([this] {
        EXPECT_EQ(m_counters.counter("answers_broken_total",
                                     "reason=\"" + std::string(GetParam().reason) + '"'),
                  1U);
    });
}

INSTANTIATE_TEST_SUITE_P(kinds, broken_list_answer,
                         ::testing::ValuesIn(quetzalcleat::test::brokenAnswers()),
                         [](const auto &info) { return std::string(info.param.name); });

class sound_list_answer : public list_answer_test
{
};

TEST_P(sound_list_answer, IsRead)
{
    auto first = m_platform.accept();
    first.readMessage();
    first.send(GetParam().bytes);
    ASSERT_TRUE(first.hasBytes(std::chrono::seconds(5))
                || m_platform.hasConnection(std::chrono::seconds(5)));
    EXPECT_EQ(lists().front(), "ok");
}

INSTANTIATE_TEST_SUITE_P(kinds, sound_list_answer,
                         ::testing::ValuesIn(quetzalcleat::test::soundAnswers()),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace quetzalcleat::forward::test
