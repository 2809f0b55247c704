#include "LibExperiment/workload_parser.h"

#include "LibCore/table_reader.h"
#include "LibExperiment/experiment_error.h"

#include <algorithm>

namespace quetzalcleat::experiment {

namespace {

constexpr std::size_t maximumWorkloadBytes = 256 * 1024;
constexpr std::int64_t maximumDurationSeconds = 86400;
constexpr std::int64_t maximumTokens = 1'000'000;
constexpr std::int64_t maximumServiceTimeMilliseconds = 600'000;

class workload_reader
{
public:
    explicit workload_reader(const inventory::document &document) : m_document(document) { }

    workload read(core::table_reader root)
    {
        workload result;
        result.name = root.requiredText("name");
        result.duration = std::chrono::seconds(
            root.integer("duration_s", 1, maximumDurationSeconds).value_or(120));
        for (auto &table : root.tables("class"))
            result.classes.push_back(readClass(table));
        if (result.classes.empty())
            root.report(core::core_error::MissingKey, "class");
        root.reportUnknownKeys();
        return result;
    }

private:
    template <typename Table>
    static bool hasName(const Table &table, const std::string &name)
    {
        return std::ranges::any_of(table, [&](const auto &row) { return row.name == name; });
    }

    class_load readClass(core::table_reader &table)
    {
        class_load load;
        load.className = table.requiredText("name");
        if (!hasName(m_document.classes, load.className))
            table.report(experiment_error::UnknownClass, "name");
        load.requestsPerSecond = number(table, "requests_per_s", 1, 1e6);
        load.model = table.text("model").value_or("");
        load.service = table.text("service").value_or("");
        if (load.model.empty() == load.service.empty())
            table.report(experiment_error::ModelOrService, "model");
        load.prompt = readLengths(table, "prompt", load.prompt);
        load.output = readLengths(table, "output", load.output);
        load.sharedPrefixes = tokens(table, "shared_prefixes", 0, 0);
        load.sharedPrefixTokens = tokens(table, "shared_prefix_tokens", 0, 0);
        load.nonRepeatable = number(table, "non_repeatable", 0, 1);
        load.serviceTime = std::chrono::milliseconds(
            table.integer("service_time_ms", 1, maximumServiceTimeMilliseconds).value_or(80));
        for (auto &share : table.tables("caller"))
            load.accounts.push_back(readShare(share));
        if (load.accounts.empty())
            table.report(core::core_error::MissingKey, "caller");
        table.reportUnknownKeys();
        return load;
    }

    account_share readShare(core::table_reader &table)
    {
        account_share share;
        share.account = table.requiredText("name");
        if (!hasName(m_document.accounts, share.account))
            table.report(experiment_error::UnknownAccount, "name");
        share.weight = number(table, "weight", 1, 1e6);
        if (share.weight <= 0)
            table.report(core::core_error::OutOfRange, "weight");
        table.reportUnknownKeys();
        return share;
    }

    static length_distribution readLengths(core::table_reader &table, std::string_view key,
                                           length_distribution fallback)
    {
        auto lengths = table.table(key);
        if (!lengths)
            return fallback;
        fallback.median
            = tokens(*lengths, "median", 1, static_cast<std::uint32_t>(fallback.median));
        fallback.sigma = number(*lengths, "sigma", fallback.sigma, 3);
        fallback.maximum = tokens(*lengths, "maximum", 1, fallback.maximum);
        lengths->reportUnknownKeys();
        return fallback;
    }

    static std::uint32_t tokens(core::table_reader &table, std::string_view key,
                                std::int64_t minimum, std::uint32_t fallback)
    {
        return static_cast<std::uint32_t>(
            table.integer(key, minimum, maximumTokens).value_or(fallback));
    }

    /// A number from 0 to the maximum.
    static double number(core::table_reader &table, std::string_view key, double fallback,
                         double maximum)
    {
        const auto value = table.number(key);
        if (!value)
            return fallback;
        if (*value < 0 || *value > maximum)
            table.report(core::core_error::OutOfRange, key);
        return *value;
    }

    const inventory::document &m_document;
};

} // namespace

std::variant<workload, std::vector<core::located_error>>
parseWorkload(std::string_view text, std::string_view fileName, const inventory::document &document)
{
    const auto parsed = core::parseToml(text, fileName, maximumWorkloadBytes);
    if (const auto *error = std::get_if<core::located_error>(&parsed))
        return std::vector{*error};
    core::error_list errors(fileName);
    auto result
        = workload_reader(document).read({std::get<core::toml_table>(parsed), 1, "", errors});
    if (!errors.empty())
        return errors.takeSorted();
    return result;
}

} // namespace quetzalcleat::experiment
