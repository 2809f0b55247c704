#include "quetzalcleat/commands.h"

#include "LibCore/hash.h"
#include "LibInventory/diff.h"
#include "LibInventory/parser.h"
#include "quetzalcleat/key_source.h"
#include "quetzalcleat/operator_client.h"
#include "quetzalcleat/output.h"
#include "quetzalcleat/tool_error.h"

#include <optional>
#include <ostream>

#include <nlohmann/json.hpp>

namespace quetzalcleat::tool {

namespace {

using nlohmann::json;

constexpr std::size_t randomEditIdBytes = 16;

struct current_configuration
{
    std::uint64_t revision = 0;
    std::string document;
};

/// Runs commands. A function that fails reports the failure and stores the exit code itself, so
/// that its callers only return.
class command_runner
{
public:
    command_runner(const tool_options &options, const tool_environment &environment)
        : m_options(options), m_environment(environment)
    {
    }

    exit_code run()
    {
        switch (m_options.requested) {
        case command::Check:
            check();
            break;
        case command::Diff:
            diff();
            break;
        case command::Apply:
            apply();
            break;
        case command::Show:
            show();
            break;
        case command::History:
            printAnswer("/operator/history", writeHistory);
            break;
        case command::Status:
            printAnswer("/operator/status", writeStatus);
            break;
        case command::Drain:
            drain();
            break;
        case command::Dump:
            printAnswer("/operator/dump", writeDump);
            break;
        case command::Explain:
            printAnswer("/operator/explain/" + escapePathSegment(m_options.requestId),
                        writeExplanation);
            break;
        }
        return m_exitCode;
    }

private:
    void fail(exit_code code, const std::string &message, json details = json::object())
    {
        m_exitCode = code;
        if (m_options.json) {
            details["error"] = message;
            m_environment.output << toText(details) << '\n';
        } else {
            m_environment.errors << printable(message) << '\n';
        }
    }

    void failInvalid(const json &errors)
    {
        m_exitCode = exit_code::BadInput;
        if (m_options.json)
            m_environment.output << toText({{"valid", false}, {"errors", errors}}) << '\n';
        else
            writeErrors(m_environment.errors, errors);
    }

    std::optional<std::string> readDocument(const std::filesystem::path &path)
    {
        auto text = readFile(path, inventory::maximumInventoryBytes);
        if (text)
            return std::move(text).value();
        fail(exit_code::BadInput, path.string() + ": " + text.error().message());
        return std::nullopt;
    }

    std::optional<inventory::document> parse(const std::string &text, const std::string &name)
    {
        auto parsed = inventory::parse(text, name);
        if (auto *document = std::get_if<inventory::document>(&parsed))
            return std::move(*document);
        failInvalid(toJson(std::get<std::vector<core::located_error>>(parsed)));
        return std::nullopt;
    }

    bool createClient()
    {
        auto key = readOperatorKey(m_options.keyFile, m_environment.operatorKey);
        if (!key) {
            fail(exit_code::BadInput, key.error().message());
            return false;
        }
        m_client.emplace(operator_client_options{m_options.servers, std::move(key).value(),
                                                 m_options.timeout, m_options.transmissions,
                                                 m_environment.pause});
        return true;
    }

    /// Returns the JSON object of a successful answer; reports any other outcome as a failure.
    std::optional<json> contentOrReport(const core::result<operator_answer> &answer,
                                        const json &details)
    {
        if (!answer) {
            fail(exit_code::Undecided, answer.error().message(), details);
            return std::nullopt;
        }
        constexpr long statusOk = 200;
        auto content = json::parse(answer.value().body, nullptr, false);
        if (answer.value().status == statusOk && content.is_object())
            return content;
        if (answer.value().status == statusOk)
            fail(exit_code::Undecided, make_error_code(tool_error::InvalidAnswer).message(),
                 details);
        else
            reportRefusal(answer.value().status, content, details);
        return std::nullopt;
    }

    void reportRefusal(long status, const json &content, const json &details)
    {
        constexpr long statusBadRequest = 400;
        constexpr long statusTooLarge = 413;
        constexpr long statusInvalidDocument = 422;
        constexpr long firstServerError = 500;
        if (status == statusInvalidDocument && content.is_object() && content.contains("errors")) {
            failInvalid(content["errors"]);
            return;
        }
        auto code = exit_code::Refused;
        if (status >= firstServerError)
            code = exit_code::Undecided;
        else if (status == statusBadRequest || status == statusTooLarge
                 || status == statusInvalidDocument)
            code = exit_code::BadInput;
        json merged = details;
        merged["status"] = status;
        merged["answer"] = content.is_discarded() ? json() : content;
        fail(code, describe(status, content), std::move(merged));
    }

    static std::string describe(long status, const json &content)
    {
        const auto verdict = text(content, "verdict");
        if (verdict == "conflict")
            return "conflict: the current revision is " + std::to_string(revisionOf(content));
        if (verdict == "edit_id_reused")
            return "the edit id belongs to another edit";
        const auto error = content.is_object() ? content.value("error", json()) : json();
        const auto message = text(error, "message");
        return message.empty() ? "the host answered with status " + std::to_string(status)
                               : message;
    }

    static std::string text(const json &content, const char *key)
    {
        if (!content.is_object())
            return {};
        const auto found = content.find(key);
        return found != content.end() && found->is_string() ? found->get<std::string>()
                                                            : std::string();
    }

    static std::uint64_t revisionOf(const json &content)
    {
        const auto found = content.find("revision");
        return found != content.end() && found->is_number_unsigned() ? found->get<std::uint64_t>()
                                                                     : 0;
    }

    /// The body of a request, if its texts are UTF-8.
    std::optional<std::string> encode(const json &content)
    {
        try {
            return content.dump();
        } catch (const json::type_error &) {
            fail(exit_code::BadInput, "arguments and files must be UTF-8");
            return std::nullopt;
        }
    }

    void printAnswer(const std::string &path, void (*write)(std::ostream &, const json &))
    {
        if (!createClient())
            return;
        const auto answer = contentOrReport(m_client->get(path), json::object());
        if (!answer)
            return;
        if (m_options.json)
            m_environment.output << toText(*answer) << '\n';
        else
            write(m_environment.output, *answer);
    }

    std::optional<current_configuration> fetchCurrent()
    {
        const auto answer
            = contentOrReport(m_client->get("/operator/configuration"), json::object());
        if (!answer)
            return std::nullopt;
        const auto revision = answer->find("revision");
        const auto document = answer->find("document");
        if (revision == answer->end() || !revision->is_number_unsigned()
            || document == answer->end() || !document->is_string()) {
            fail(exit_code::Undecided, make_error_code(tool_error::InvalidAnswer).message());
            return std::nullopt;
        }
        return current_configuration{revision->get<std::uint64_t>(), document->get<std::string>()};
    }

    void check()
    {
        const auto &path = m_options.files.front();
        const auto document = readDocument(path);
        if (!document || !parse(*document, path.string()))
            return;
        if (!m_options.servers.empty() && !checkOnServer(*document))
            return;
        if (m_options.json)
            m_environment.output << toText({{"valid", true}, {"errors", json::array()}}) << '\n';
        else
            m_environment.output << printable(path.string()) << ": valid\n";
    }

    /// Checks on a host too, which may run another version of the program with other rules.
    bool checkOnServer(const std::string &document)
    {
        const auto body = createClient() ? encode({{"document", document}}) : std::nullopt;
        return body && contentOrReport(m_client->post("/operator/check", *body), json::object());
    }

    void diff()
    {
        const auto &newPath = m_options.files.back();
        const auto newText = readDocument(newPath);
        if (!newText)
            return;
        const auto newDocument = parse(*newText, newPath.string());
        const auto oldDocument = newDocument ? documentToCompare() : std::nullopt;
        if (!oldDocument)
            return;
        const auto changes = inventory::diff(*oldDocument, *newDocument);
        if (m_options.json)
            m_environment.output << toText({{"changes", toJson(changes)}}) << '\n';
        else
            writeChanges(m_environment.output, changes);
    }

    std::optional<inventory::document> documentToCompare()
    {
        if (m_options.files.size() == 2) {
            const auto text = readDocument(m_options.files.front());
            return text ? parse(*text, m_options.files.front().string()) : std::nullopt;
        }
        const auto current = createClient() ? fetchCurrent() : std::nullopt;
        if (!current)
            return std::nullopt;
        // Revision 0 stands for a cluster without a configuration.
        if (current->revision == 0)
            return inventory::document{};
        return parse(current->document, "configuration in force");
    }

    void show()
    {
        const auto current = createClient() ? fetchCurrent() : std::nullopt;
        if (!current)
            return;
        if (m_options.json) {
            const json content{{"revision", current->revision}, {"document", current->document}};
            m_environment.output << toText(content) << '\n';
            return;
        }
        // The document alone goes to standard output, so that it can be saved and edited.
        m_environment.errors << "revision " << current->revision << '\n';
        m_environment.output << current->document;
    }

    std::string editId() const
    {
        if (!m_options.editId.empty())
            return m_options.editId;
        return core::sha256Hex(core::secureRandomBytes(randomEditIdBytes)).substr(0, 32);
    }

    void apply()
    {
        const auto &path = m_options.files.front();
        const auto document = readDocument(path);
        if (!document || !parse(*document, path.string()) || !createClient())
            return;
        auto base = m_options.baseRevision;
        if (!base) {
            const auto current = fetchCurrent();
            if (!current)
                return;
            base = current->revision;
        }
        const auto id = editId();
        json request{{"edit_id", id},
                     {"base_revision", *base},
                     {"document", *document},
                     {"wait", m_options.wait}};
        if (!m_options.author.empty())
            request["author"] = m_options.author;
        sendEdit("/operator/configuration", request, {{"edit_id", id}, {"base_revision", *base}});
    }

    void drain()
    {
        if (!createClient())
            return;
        const auto id = editId();
        sendEdit("/operator/drain", {{"target", m_options.target}, {"edit_id", id}},
                 {{"edit_id", id}});
    }

    void sendEdit(std::string_view path, const json &request, const json &details)
    {
        const auto body = encode(request);
        if (!body)
            return;
        const auto answer = contentOrReport(m_client->post(path, *body), details);
        if (answer)
            reportVerdict(*answer, details);
        else if (m_exitCode == exit_code::Undecided && !m_options.json)
            m_environment.errors << resendHint(details) << '\n';
    }

    static std::string resendHint(const json &details)
    {
        std::string hint = "to ask again for the verdict, repeat the command with --edit-id "
            + printable(details.at("edit_id").get<std::string>());
        if (details.contains("base_revision"))
            hint += " --base-revision " + toText(details.at("base_revision"));
        return hint;
    }

    void reportVerdict(const json &answer, json details)
    {
        if (text(answer, "verdict") != "accepted") {
            fail(exit_code::Undecided, make_error_code(tool_error::InvalidAnswer).message(),
                 std::move(details));
            return;
        }
        const bool missed
            = m_options.wait && answer.value("in_force_everywhere", json(false)) != json(true);
        if (missed)
            m_exitCode = exit_code::Undecided;
        if (m_options.json) {
            details.update(answer);
            m_environment.output << toText(details) << '\n';
            return;
        }
        m_environment.output << "accepted as revision " << revisionOf(answer) << '\n';
        if (missed)
            m_environment.errors << "not yet in force on every live host\n";
        else if (m_options.wait)
            m_environment.output << "in force on every live host\n";
    }

    const tool_options &m_options;
    const tool_environment &m_environment;
    exit_code m_exitCode = exit_code::Done;
    std::optional<operator_client> m_client;
};

} // namespace

exit_code runCommand(const tool_options &options, const tool_environment &environment)
{
    return command_runner(options, environment).run();
}

} // namespace quetzalcleat::tool
