#include "quetzalcleat/command_line.h"

#include <limits>
#include <map>

#include <CLI/CLI.hpp>

namespace quetzalcleat::tool {

namespace {

constexpr std::size_t maximumEditIdBytes = 128;
constexpr std::int64_t maximumTimeoutMilliseconds = 600000;
constexpr std::uint32_t maximumTransmissions = 100;

class command_line
{
public:
    command_line()
    {
        m_app.require_subcommand(1);
        m_app.fallthrough();
        m_app
            .add_option("--server", m_servers,
                        "Operator address IP:PORT of a host; may be given several times")
            ->allow_extra_args(false);
        m_app.add_flag("--json", m_options.json, "Write JSON for scripts");
        m_app.add_option("--key-file", m_options.keyFile,
                         "File with the operator key (else QUETZALCLEAT_OPERATOR_KEY)");
        m_app.add_option("--timeout-ms", m_timeoutMilliseconds, "Time to wait for one answer")
            ->check(CLI::Range(std::int64_t(1), maximumTimeoutMilliseconds));
        m_app
            .add_option("--transmissions", m_options.transmissions,
                        "Maximum number of transmissions of a request")
            ->check(CLI::Range(std::uint32_t(1), maximumTransmissions));
        addFileCommands();
        addPlainCommands();
    }

    std::variant<tool_options, exit_code> parse(int argumentCount, const char *const *arguments,
                                                std::ostream &output, std::ostream &errors)
    {
        try {
            m_app.parse(argumentCount, arguments);
        } catch (const CLI::ParseError &error) {
            return m_app.exit(error, output, errors) == 0 ? exit_code::Done : exit_code::BadInput;
        }
        for (const auto &[subcommand, requested] : m_commands) {
            if (subcommand->parsed())
                m_options.requested = requested;
        }
        m_options.timeout = std::chrono::milliseconds(m_timeoutMilliseconds);
        if (const auto problem = findProblem(); !problem.empty()) {
            errors << problem << '\n';
            return exit_code::BadInput;
        }
        return m_options;
    }

private:
    CLI::App *add(const char *name, const char *description, command requested)
    {
        auto *subcommand = m_app.add_subcommand(name, description);
        m_commands.emplace(subcommand, requested);
        return subcommand;
    }

    void addFileCommands()
    {
        auto *check = add("check", "Validate an inventory", command::Check);
        check->add_option("FILE", m_options.files)->required()->expected(1);
        auto *diff
            = add("diff", "List the changes from the configuration in force, or from another file",
                  command::Diff);
        diff->add_option("FILES", m_options.files, "[OLD] NEW")->required()->expected(1, 2);
        auto *apply = add("apply", "Propose an inventory as the new configuration", command::Apply);
        apply->add_option("FILE", m_options.files)->required()->expected(1);
        apply->add_flag("--wait", m_options.wait, "Return once it is in force on every live host");
        apply
            ->add_option("--base-revision", m_options.baseRevision,
                         "Revision that the edit was made from (else the current one)")
            ->check(CLI::Range(std::int64_t(0), std::numeric_limits<std::int64_t>::max()));
        apply->add_option("--edit-id", m_options.editId,
                          "Edit id of an earlier try; needs --base-revision");
        apply->add_option("--author", m_options.author, "Name for the history");
    }

    void addPlainCommands()
    {
        add("show", "Print the configuration in force", command::Show);
        add("history", "List accepted edits", command::History);
        add("status", "Show the state of the hosts", command::Status);
        auto *drain = add("drain", "Give an endpoint or a host no new work", command::Drain);
        drain->add_option("TARGET", m_options.target)->required();
        drain->add_option("--edit-id", m_options.editId, "Edit id of an earlier try");
        add("dump", "Show the routing tables of a host", command::Dump);
        auto *explain = add("explain", "Show the decisions about a request", command::Explain);
        explain->add_option("REQUEST-ID", m_options.requestId)->required();
    }

    std::string findProblem()
    {
        for (const auto &text : m_servers) {
            const auto address = core::parseSocketAddress(text);
            if (!address)
                return "--server: not IP:PORT: " + text;
            m_options.servers.push_back(*address);
        }
        const bool isOffline = m_options.requested == command::Check
            || (m_options.requested == command::Diff && m_options.files.size() == 2);
        if (!isOffline && m_options.servers.empty())
            return "this command needs --server IP:PORT";
        if (m_options.editId.size() > maximumEditIdBytes)
            return "--edit-id: at most 128 bytes";
        // A resend with another base revision would be refused as another edit with the same id.
        if (m_options.requested == command::Apply && !m_options.editId.empty()
            && !m_options.baseRevision)
            return "--edit-id needs the --base-revision of the earlier try";
        return {};
    }

    CLI::App m_app{"Operators' tool of quetzalcleat", "quetzalcleat"};
    tool_options m_options;
    std::vector<std::string> m_servers;
    std::int64_t m_timeoutMilliseconds = tool_options().timeout.count();
    std::map<CLI::App *, command> m_commands;
};

} // namespace

std::variant<tool_options, exit_code> parseCommandLine(int argumentCount,
                                                       const char *const *arguments,
                                                       std::ostream &output, std::ostream &errors)
{
    return command_line().parse(argumentCount, arguments, output, errors);
}

} // namespace quetzalcleat::tool
