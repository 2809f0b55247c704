#include "fake_operator_server.h"

#include "quetzalcleat/command_line.h"
#include "quetzalcleat/commands.h"

#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

#include <gtest/gtest.h>

#include <unistd.h>

namespace tool = quetzalcleat::tool;
using nlohmann::json;
using tool::exit_code;

namespace {

std::string read(const std::filesystem::path &path)
{
    std::ifstream stream(path, std::ios::binary);
    std::ostringstream content;
    content << stream.rdbuf();
    return content.str();
}

const std::string spennuvir = EXAMPLES_FOLDER "/spennuvir.toml";

struct tool_run
{
    exit_code code = exit_code::Done;
    std::string output;
    std::string errors;
    std::uint32_t pauses = 0;
};

tool_run run(std::vector<std::string> arguments, const char *key = fake_operator_server::key)
{
    arguments.insert(arguments.begin(), "quetzalcleat");
    std::vector<const char *> pointers;
    pointers.reserve(arguments.size());
    for (const auto &argument : arguments)
        pointers.push_back(argument.c_str());
    std::ostringstream output;
    std::ostringstream errors;
    tool_run result;
    const auto parsed = tool::parseCommandLine(static_cast<int>(pointers.size()), pointers.data(),
                                               output, errors);
    if (const auto *code = std::get_if<exit_code>(&parsed))
        result.code = *code;
    else
        result.code = tool::runCommand(
            std::get<tool::tool_options>(parsed),
            {output, errors, key, [&](std::chrono::milliseconds) { ++result.pauses; }});
    result.output = output.str();
    result.errors = errors.str();
    return result;
}

class tool_test : public testing::Test
{
protected:
    tool_test()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "tool-XXXXXX").string();
        m_folder = mkdtemp(pattern.data());
        m_editedText = read(spennuvir);
        const std::string from = "capacity = 8";
        m_editedText.replace(m_editedText.find(from), from.size(), "capacity = 9");
        m_edited = write("edited.toml", m_editedText);
        m_broken = write("broken.toml", "deployment = \"trial\"\nregions = 1\n");
    }
    ~tool_test() override { std::filesystem::remove_all(m_folder); }

    std::string write(const std::string &name, const std::string &content) const
    {
        const auto path = m_folder / name;
        std::ofstream(path, std::ios::binary) << content;
        return path.string();
    }

    /// Runs a command against the fake.
    tool_run runOnline(std::vector<std::string> arguments) const
    {
        arguments.insert(arguments.end(), {"--server", m_server.address().text()});
        return run(std::move(arguments));
    }

    /// Runs a command while answers are lost. The number of transmissions allows for answers that
    /// come after the timeout on a busy machine.
    tool_run runWithLosses(std::vector<std::string> arguments,
                           const std::string &transmissions = "20") const
    {
        arguments.insert(arguments.end(),
                         {"--timeout-ms", "300", "--transmissions", transmissions});
        return runOnline(std::move(arguments));
    }

    std::set<std::string> editIds() const
    {
        std::set<std::string> ids;
        for (const auto &edit : m_server.edits())
            ids.insert(edit.at("edit_id").get<std::string>());
        return ids;
    }

    std::filesystem::path m_folder;
    std::string m_editedText;
    std::string m_edited;
    std::string m_broken;
    fake_operator_server m_server{read(spennuvir)};
};

} // namespace

// Guards against usage errors that a script takes for success or a refusal.
TEST_F(tool_test, UsageErrorsExitWithTwo)
{
    const std::vector<std::vector<std::string>> wrongUsages{
        {},
        {"bogus"},
        {"status"},
        {"check"},
        {"apply", m_edited},
        {"status", "--server", "localhost:80"},
        {"diff", m_edited},
        {"apply", m_edited, "--server", "127.0.0.1:1", "--edit-id", "a"},
        {"apply", m_edited, "--server", "127.0.0.1:1", "--base-revision", "-1"},
        {"status", "--server", "127.0.0.1:1", "--timeout-ms", "0"},
        {"check", m_folder.string() + "/absent.toml"},
        {"check", m_folder.string()},
    };
    for (const auto &arguments : wrongUsages)
        EXPECT_EQ(run(arguments).code, exit_code::BadInput)
            << (arguments.empty() ? "no arguments" : arguments.back());
    EXPECT_EQ(run({"--help"}).code, exit_code::Done);
}

// Guards against check and diff that need a running cluster.
TEST_F(tool_test, ChecksAndComparesFilesOffline)
{
    EXPECT_EQ(run({"check", m_edited}, nullptr).code, exit_code::Done);
    const auto broken = run({"check", m_broken}, nullptr);
    EXPECT_EQ(broken.code, exit_code::BadInput);
    EXPECT_NE(broken.errors.find("broken.toml:2: unknown key: regions"), std::string::npos);
    const auto brokenJson = json::parse(run({"--json", "check", m_broken}, nullptr).output);
    EXPECT_EQ(brokenJson.at("valid"), false);
    EXPECT_EQ(brokenJson.at("errors").at(0).at("line"), 1);

    const auto text = run({"diff", spennuvir, m_edited}, nullptr);
    EXPECT_EQ(text.code, exit_code::Done);
    EXPECT_EQ(text.output, "~ endpoint reykjavik-engine-1: capacity 8 -> 9\n");
    const auto changes = json::parse(run({"diff", spennuvir, m_edited, "--json"}).output);
    EXPECT_EQ(changes.at("changes").at(0).at("after"), "9");
}

// Guards against a comparison with something other than the configuration in force.
TEST_F(tool_test, ShowsAndComparesTheConfigurationInForce)
{
    const auto shown = runOnline({"show"});
    EXPECT_EQ(shown.output, read(spennuvir));
    EXPECT_EQ(shown.errors, "revision 1\n");
    EXPECT_EQ(json::parse(runOnline({"show", "--json"}).output).at("revision"), 1);
    EXPECT_EQ(runOnline({"diff", m_edited}).output,
              "~ endpoint reykjavik-engine-1: capacity 8 -> 9\n");
}

// Guards against a document that passes this tool's own check but that the hosts refuse.
TEST_F(tool_test, ChecksOnTheServerIfOneIsGiven)
{
    m_server.setAnswer("/operator/check", 200, R"({"valid":true,"errors":[]})");
    EXPECT_EQ(runOnline({"check", m_edited}).code, exit_code::Done);
    m_server.setAnswer("/operator/check", 422,
                       R"({"valid":false,"errors":[{"file":"f","line":3,"message":"m"}]})");
    const auto refused = runOnline({"check", m_edited});
    EXPECT_EQ(refused.code, exit_code::BadInput);
    EXPECT_EQ(refused.errors, "f:3: m: -\n");
}

// Guards against an edit that is based on another revision than the current one.
TEST_F(tool_test, AppliesOnTheCurrentRevision)
{
    m_server.applyConcurrentEdit(read(spennuvir));
    const auto applied = runOnline({"apply", m_edited, "--wait", "--author", "anna"});
    EXPECT_EQ(applied.code, exit_code::Done) << applied.errors;
    EXPECT_EQ(applied.output, "accepted as revision 3\nin force on every live host\n");
    const auto edits = m_server.edits();
    ASSERT_EQ(edits.size(), 1U);
    EXPECT_EQ(edits[0].at("base_revision"), 2);
    EXPECT_EQ(edits[0].at("author"), "anna");
    EXPECT_EQ(edits[0].at("edit_id").get<std::string>().size(), 32U);
    EXPECT_EQ(m_server.document(), m_editedText);
}

// Guards against an edit that is made twice, or reported as failed, after a lost request or answer.
TEST_F(tool_test, ResendsWithTheSameEditId)
{
    m_server.setFaults({edit_fault::LoseRequest, edit_fault::LoseAnswer, edit_fault::Undecided});
    const auto applied = runWithLosses({"apply", m_edited});
    EXPECT_EQ(applied.code, exit_code::Done) << applied.errors;
    EXPECT_EQ(m_server.revision(), 2U);
    EXPECT_GE(m_server.edits().size(), 4U);
    EXPECT_EQ(editIds().size(), 1U);
    EXPECT_GE(applied.pauses, 3U);
}

// Guards against reporting an edit as refused although it may have been accepted.
TEST_F(tool_test, ReportsAnUndecidedEdit)
{
    m_server.setFaults(std::vector(8, edit_fault::LoseAnswer));
    const auto lost = runWithLosses({"apply", m_edited, "--base-revision", "1"}, "2");
    EXPECT_EQ(lost.code, exit_code::Undecided);
    EXPECT_NE(lost.errors.find("--edit-id " + *editIds().begin() + " --base-revision 1"),
              std::string::npos);
    m_server.setFaults({});
    const auto repeated
        = runOnline({"apply", m_edited, "--edit-id", *editIds().begin(), "--base-revision", "1"});
    EXPECT_EQ(repeated.code, exit_code::Done);
    EXPECT_EQ(repeated.output, "accepted as revision 2\n");

    m_server.setFaults(std::vector(8, edit_fault::Undecided));
    EXPECT_EQ(runOnline({"drain", "reykjavik-engine-1"}).code, exit_code::Undecided);
}

// Guards against overwriting a concurrent edit, and against a conflict that a script cannot see.
TEST_F(tool_test, ReportsConflicts)
{
    const auto conflict = runOnline({"apply", m_edited, "--base-revision", "0"});
    EXPECT_EQ(conflict.code, exit_code::Refused);
    EXPECT_EQ(conflict.errors, "conflict: the current revision is 1\n");
    const auto content
        = json::parse(runOnline({"apply", m_edited, "--base-revision", "0", "--json"}).output);
    EXPECT_EQ(content.at("answer").at("verdict"), "conflict");
    EXPECT_EQ(content.at("base_revision"), 0);
    EXPECT_EQ(m_server.revision(), 1U);
}

// Guards against sending an edit that every host would refuse.
TEST_F(tool_test, DoesNotSendInvalidDocuments)
{
    EXPECT_EQ(runOnline({"apply", m_broken}).code, exit_code::BadInput);
    EXPECT_TRUE(m_server.edits().empty());
}

// Guards against apply --wait reporting success while a host still uses the old configuration.
TEST_F(tool_test, WaitReportsHostsThatLagBehind)
{
    m_server.setInForceEverywhere(false);
    const auto applied = runOnline({"apply", m_edited, "--wait"});
    EXPECT_EQ(applied.code, exit_code::Undecided);
    EXPECT_EQ(applied.errors, "not yet in force on every live host\n");
}

// Guards against a drain that is lost or changes other parts of the document.
TEST_F(tool_test, DrainsAnEndpoint)
{
    m_server.setFaults({edit_fault::LoseAnswer});
    EXPECT_EQ(runWithLosses({"drain", "akureyri-dispatch-1"}).code, exit_code::Done);
    EXPECT_EQ(m_server.revision(), 2U);
    EXPECT_EQ(m_server.document(),
              read(spennuvir) + "\n[[drain]]\nendpoint = \"akureyri-dispatch-1\"\n");
    EXPECT_EQ(runOnline({"drain", "nobody"}).code, exit_code::BadInput);
}

// Guards against giving up although another host answers.
TEST_F(tool_test, TriesTheNextServer)
{
    const auto result
        = run({"show", "--server", "127.0.0.1:1", "--server", m_server.address().text()});
    EXPECT_EQ(result.code, exit_code::Done) << result.errors;
    EXPECT_EQ(result.pauses, 1U);
    EXPECT_EQ(run({"show", "--server", "127.0.0.1:1"}).code, exit_code::Undecided);
}

// Guards against a missing or malformed key that is sent, and a wrong key taken for an outage.
TEST_F(tool_test, ReadsTheKeyFromFileOrEnvironment)
{
    const auto server = m_server.address().text();
    EXPECT_EQ(run({"show", "--server", server}, nullptr).code, exit_code::BadInput);
    EXPECT_EQ(run({"show", "--server", server}, "wrong").code, exit_code::Refused);
    EXPECT_EQ(run({"show", "--server", server}, "two\nlines").code, exit_code::BadInput);
    const auto keyFile = write("key", std::string(fake_operator_server::key) + "\n");
    EXPECT_EQ(run({"show", "--server", server, "--key-file", keyFile}, "wrong").code,
              exit_code::Done);
    EXPECT_EQ(run({"show", "--server", server, "--key-file", keyFile + "-absent"}).code,
              exit_code::BadInput);
}

// Guards against output that is incomplete or passes on control characters from a host's answer.
TEST_F(tool_test, WritesViewsForPeopleAndScripts)
{
    const std::string status = R"({"revision":4,"leader":"a-1","stale":true,"state":"live",)"
                               R"("hosts":[{"host":"a-1\u001b[2J","revision":4,"alive":true}]})";
    m_server.setAnswer("/operator/status", 200, status);
    EXPECT_EQ(json::parse(runOnline({"status", "--json"}).output), json::parse(status));
    EXPECT_EQ(runOnline({"status"}).output,
              "revision 4, leader a-1, configuration possibly stale, this host live\n"
              "HOST     DATA CENTRE  ALIVE  REVISION  INCARNATION  AGE MS\n"
              "a-1?[2J  -            true   4         -            -\n");
    m_server.setAnswer("/operator/history", 200,
                       R"({"history":[{"revision":4,"edit_id":"e","author":"anna"}]})");
    EXPECT_EQ(runOnline({"history"}).output,
              "REVISION  EDIT ID  AUTHOR\n4         e        anna\n");
    m_server.setAnswer("/operator/explain/a%2Fb", 200,
                       R"({"request_id":"a/b","phase":"ended","steps":[{"decision":"shed",)"
                       R"("age_ms":9,"waited_ms":5,"reason":"higher_tier_waiting",)"
                       R"("beneficiary":"c","candidates":[{"endpoint":"e","score_ms":1}]}]})");
    EXPECT_EQ(runOnline({"explain", "a/b"}).output,
              "request a/b: ended\n9 ms ago, after 5 ms: shed, reason higher_tier_waiting, in "
              "favour of c\n    e 1 ms\n");
    EXPECT_EQ(runOnline({"explain", "unknown"}).code, exit_code::Refused);
    m_server.setAnswer("/operator/dump", 200,
                       R"({"callers":[{"name":"depot","queued":1}],"share":0.5,)"
                       R"("totals":{"shed":3}})");
    const auto dump = runOnline({"dump"}).output;
    EXPECT_NE(dump.find("CALLER  QUEUED  RUNNING\ndepot   1       -\n"), std::string::npos);
    EXPECT_TRUE(dump.ends_with("share of the limits 0.5\nshed 3\n"));
}

// Guards against a crash, or success, on an answer that does not follow the operator API.
TEST_F(tool_test, SurvivesUnexpectedAnswers)
{
    for (const auto *body : {"", "[", "[]", "7", "{}", R"({"revision":"x","document":1})",
                             R"({"hosts":3,"classes":{},"totals":[],"steps":[1],"history":"x"})"}) {
        for (const auto *path : {"configuration", "status", "dump", "history", "explain/r"})
            m_server.setAnswer(std::string("/operator/") + path, 200, body);
        EXPECT_EQ(runOnline({"show"}).code, exit_code::Undecided) << body;
        EXPECT_EQ(runOnline({"apply", m_edited}).code, exit_code::Undecided) << body;
        EXPECT_EQ(runOnline({"apply", m_edited, "--base-revision", "1"}).code, exit_code::Undecided)
            << body;
        for (const auto *command : {"status", "dump", "history"})
            EXPECT_NE(runOnline({command}).code, exit_code::Refused) << body;
        EXPECT_NE(runOnline({"explain", "r"}).code, exit_code::Refused) << body;
    }
    m_server.setAnswer("/operator/status", 500, "{}");
    EXPECT_EQ(runOnline({"status"}).code, exit_code::Undecided);
}
