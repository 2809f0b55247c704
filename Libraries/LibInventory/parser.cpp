#include "LibInventory/parser.h"

#include "LibCore/table_reader.h"
#include "LibInventory/inventory_error.h"
#include "LibInventory/source_lines.h"
#include "LibInventory/validator.h"

#include <algorithm>
#include <map>

namespace quetzalcleat::inventory {

namespace {

constexpr std::int64_t maximumCapacity = 65536;
constexpr std::int64_t maximumKvBlocks = 1'000'000'000;
constexpr std::int64_t maximumAccelerators = 1024;
constexpr std::int64_t maximumConcurrency = 10'000'000;
constexpr std::int64_t maximumRank = 255;
constexpr std::int64_t maximumQueueLength = 1'000'000;
constexpr std::int64_t maximumTimeMilliseconds = 24LL * 60 * 60 * 1000;
constexpr std::int64_t maximumAnswerBytes = 1024LL * 1024;
constexpr std::int64_t minimumRetentionSeconds = 60;
constexpr std::int64_t maximumRetentionSeconds = 30LL * 24 * 60 * 60;
constexpr std::int64_t maximumLoads = 1024;
constexpr std::size_t tokenHashDigits = 64;
constexpr std::size_t maximumModelNameBytes = 128;
constexpr std::size_t maximumListLength = 256;

using core::core_error;
using core::table_reader;

bool isTokenHash(std::string_view text)
{
    return text.size() == tokenHashDigits
        && text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

bool isModelName(std::string_view text)
{
    return !text.empty() && text.size() <= maximumModelNameBytes
        && std::all_of(text.begin(), text.end(),
                       [](char character) { return character > ' ' && character < '\x7f'; });
}

bool isMethod(std::string_view text)
{
    return text == "*"
        || (!text.empty()
            && text.find_first_not_of("ABCDEFGHIJKLMNOPQRSTUVWXYZ") == std::string_view::npos);
}

/// Positions of the entities of one table by name. Of two equal names the first is kept.
class name_index
{
public:
    void add(const std::string &name)
    {
        m_positions.try_emplace(name, m_count);
        ++m_count;
    }

    /// The position of the entity that the key refers to; 0 after reporting an error.
    std::uint32_t resolve(table_reader &reader, std::string_view key) const
    {
        const auto name = reader.requiredText(key);
        if (name.empty())
            return 0;
        const auto position = m_positions.find(name);
        if (position != m_positions.end())
            return position->second;
        reader.report(inventory_error::DanglingReference, key, name);
        return 0;
    }

private:
    std::map<std::string, std::uint32_t> m_positions;
    std::uint32_t m_count = 0;
};

class parser
{
public:
    parser(const core::toml_table &root, core::error_list &errors)
        : m_root(root, 1, {}, errors), m_errors(errors)
    {
    }

    document parse()
    {
        m_document.deployment = name(m_root, "deployment");
        parseLedger();
        parseWeightStore();
        // Each table is parsed after those that it refers to.
        parseTable("region", m_lines.regions, &parser::parseRegion);
        parseTable("data_centre", m_lines.dataCentres, &parser::parseDataCentre);
        parseTable("host", m_lines.hosts, &parser::parseHost);
        parseTable("endpoint", m_lines.endpoints, &parser::parseEndpoint);
        parseTable("tier", m_lines.tiers, &parser::parseTier);
        parseTable("class", m_lines.classes, &parser::parseClass);
        parseTable("caller", m_lines.accounts, &parser::parseClientAccount);
        parseTable("placement", m_lines.placements, &parser::parsePlacement);
        parseTable("drain", m_lines.drains, &parser::parseDrain);
        for (const auto *required : {"region", "data_centre", "tier", "class"}) {
            if (!m_root.has(required))
                m_root.report(core_error::MissingKey, required);
        }
        m_root.reportUnknownKeys();
        detail::validate(m_document, m_lines, m_errors);
        return std::move(m_document);
    }

private:
    void parseTable(std::string_view key, std::vector<std::uint32_t> &lines,
                    void (parser::*parseEntity)(table_reader &))
    {
        for (auto &reader : m_root.tables(key)) {
            lines.push_back(reader.line());
            (this->*parseEntity)(reader);
            reader.reportUnknownKeys();
        }
    }

    static std::string name(table_reader &reader, std::string_view key)
    {
        auto text = reader.requiredText(key);
        if (!text.empty() && !core::isValidName(text))
            reader.report(core_error::InvalidName, key, text);
        return text;
    }

    static std::string modelName(table_reader &reader, std::string_view key)
    {
        auto text = reader.requiredText(key);
        if (!text.empty() && !isModelName(text))
            reader.report(inventory_error::InvalidModelName, key);
        return text;
    }

    static std::vector<std::string> modelNames(table_reader &reader, std::string_view key)
    {
        auto names = reader.textList(key);
        if (names.size() > maximumListLength)
            reader.report(core_error::OutOfRange, key);
        if (!std::all_of(names.begin(), names.end(), isModelName))
            reader.report(inventory_error::InvalidModelName, key);
        auto sorted = names;
        std::sort(sorted.begin(), sorted.end());
        if (std::adjacent_find(sorted.begin(), sorted.end()) != sorted.end())
            reader.report(core_error::DuplicateName, key);
        return names;
    }

    static std::uint32_t integerOr(table_reader &reader, std::string_view key,
                                   std::uint32_t fallback, std::int64_t minimum,
                                   std::int64_t maximum)
    {
        const auto value = reader.integer(key, minimum, maximum);
        return value ? static_cast<std::uint32_t>(*value) : fallback;
    }

    static std::optional<std::chrono::milliseconds> milliseconds(table_reader &reader,
                                                                 std::string_view key)
    {
        const auto value = reader.integer(key, 1, maximumTimeMilliseconds);
        return value ? std::optional(std::chrono::milliseconds(*value)) : std::nullopt;
    }

    void parseLedger()
    {
        auto reader = m_root.table("ledger");
        if (!reader)
            return;
        auto &ledger = m_document.ledger;
        ledger.answerBytes
            = integerOr(*reader, "answer_bytes", ledger.answerBytes, 1, maximumAnswerBytes);
        if (const auto value = reader->integer("answer_retention_s", minimumRetentionSeconds,
                                               maximumRetentionSeconds))
            ledger.answerRetention = std::chrono::seconds(*value);
        reader->reportUnknownKeys();
    }

    void parseWeightStore()
    {
        auto reader = m_root.table("weight_store");
        if (!reader)
            return;
        auto &weightStore = m_document.weightStore;
        weightStore.concurrentLoads
            = integerOr(*reader, "concurrent_loads", weightStore.concurrentLoads, 1, maximumLoads);
        reader->reportUnknownKeys();
    }

    void parseRegion(table_reader &reader)
    {
        m_document.regions.push_back({name(reader, "name")});
        m_regions.add(m_document.regions.back().name);
    }

    void parseDataCentre(table_reader &reader)
    {
        m_document.dataCentres.push_back(
            {name(reader, "name"), m_regions.resolve(reader, "region")});
        m_dataCentres.add(m_document.dataCentres.back().name);
    }

    void parseHost(table_reader &reader)
    {
        host host;
        host.name = name(reader, "name");
        host.dataCentre = m_dataCentres.resolve(reader, "data_centre");
        host.callerAddress = reader.requiredAddress("caller_address");
        host.operatorAddress = reader.requiredAddress("operator_address");
        host.peerAddress = reader.requiredAddress("peer_address");
        host.control = reader.boolean("control").value_or(false);
        m_document.hosts.push_back(std::move(host));
    }

    void parseEndpoint(table_reader &reader)
    {
        endpoint endpoint;
        endpoint.name = name(reader, "name");
        m_endpoints.add(endpoint.name);
        endpoint.dataCentre = m_dataCentres.resolve(reader, "data_centre");
        endpoint.address = reader.requiredAddress("address");
        endpoint.capacity = parseCapacity(reader);
        const auto kind = reader.requiredText("kind");
        if (kind == "service")
            parseService(reader, endpoint);
        else if (kind == "engine")
            parseEngine(reader, endpoint);
        else if (!kind.empty())
            reader.report(inventory_error::InvalidKind, "kind", kind);
        m_document.endpoints.push_back(std::move(endpoint));
    }

    static std::uint32_t parseCapacity(table_reader &reader)
    {
        const auto capacity = reader.integer("capacity", 0, maximumCapacity);
        if (!reader.has("capacity"))
            reader.report(core_error::MissingKey, "capacity");
        if (capacity == 0)
            reader.report(inventory_error::ZeroCapacity, "capacity");
        return static_cast<std::uint32_t>(capacity.value_or(1));
    }

    static void reportInapplicableKeys(table_reader &reader,
                                       std::initializer_list<std::string_view> keys)
    {
        for (const auto key : keys) {
            if (reader.has(key))
                reader.report(inventory_error::KeyNotApplicable, key);
        }
    }

    static void parseEngine(table_reader &reader, endpoint &endpoint)
    {
        endpoint.kind = endpoint_kind::Engine;
        endpoint.models = modelNames(reader, "models");
        if (!reader.has("models"))
            reader.report(core_error::MissingKey, "models");
        else if (endpoint.models.empty())
            reader.report(core_error::OutOfRange, "models", "at least one model");
        endpoint.adapters = modelNames(reader, "adapters");
        endpoint.kvBlocks = integerOr(reader, "kv_blocks", 0, 0, maximumKvBlocks);
        endpoint.accelerators = integerOr(reader, "accelerators", 1, 1, maximumAccelerators);
        endpoint.checksFencing = reader.boolean("checks_fencing").value_or(false);
        endpoint.canResume = reader.boolean("can_resume").value_or(false);
        reportInapplicableKeys(reader, {"service", "non_repeatable"});
        // Reads the keys, so that reportUnknownKeys() does not report them again.
        reader.text("service");
        reader.tables("non_repeatable");
    }

    static void parseService(table_reader &reader, endpoint &endpoint)
    {
        endpoint.kind = endpoint_kind::Service;
        endpoint.service = name(reader, "service");
        endpoint.accelerators = 0;
        for (auto &rule : reader.tables("non_repeatable")) {
            non_repeatable_rule parsed{rule.text("method").value_or("*"),
                                       rule.text("path_prefix").value_or("/")};
            if (!isMethod(parsed.method))
                rule.report(inventory_error::InvalidMethod, "method", parsed.method);
            checkPath(rule, parsed.pathPrefix);
            rule.reportUnknownKeys();
            endpoint.nonRepeatable.push_back(std::move(parsed));
        }
        reportInapplicableKeys(
            reader,
            {"models", "adapters", "kv_blocks", "accelerators", "checks_fencing", "can_resume"});
        // Reads the keys, so that reportUnknownKeys() does not report them again.
        reader.textList("models");
        reader.textList("adapters");
        reader.integer("kv_blocks", 0, maximumKvBlocks);
        reader.integer("accelerators", 0, maximumAccelerators);
        reader.boolean("checks_fencing");
        reader.boolean("can_resume");
    }

    static void checkPath(table_reader &reader, const std::string &path)
    {
        if (!path.starts_with('/'))
            reader.report(inventory_error::InvalidPath, "path_prefix", path);
    }

    void parseTier(table_reader &reader)
    {
        tier tier;
        tier.name = name(reader, "name");
        if (!reader.has("rank"))
            reader.report(core_error::MissingKey, "rank");
        tier.rank = integerOr(reader, "rank", 0, 0, maximumRank);
        m_tiers.add(tier.name);
        m_document.tiers.push_back(std::move(tier));
    }

    void parseClass(table_reader &reader)
    {
        request_class parsed;
        parsed.name = name(reader, "name");
        m_classes.add(parsed.name);
        parsed.tier = m_tiers.resolve(reader, "tier");
        parsed.timeToFirstToken = milliseconds(reader, "time_to_first_token_ms");
        parsed.timeBetweenTokens = milliseconds(reader, "time_between_tokens_ms");
        parsed.deadline = milliseconds(reader, "deadline_ms").value_or(parsed.deadline);
        if (parsed.timeToFirstToken && parsed.deadline < *parsed.timeToFirstToken)
            reader.report(inventory_error::DeadlineBelowTarget, "deadline_ms");
        parsed.maximumWait = milliseconds(reader, "maximum_wait_ms")
                                 .value_or(std::min(parsed.maximumWait, parsed.deadline));
        if (parsed.maximumWait > parsed.deadline)
            reader.report(inventory_error::WaitAboveDeadline, "maximum_wait_ms");
        parsed.minimumShare = reader.number("minimum_share").value_or(0);
        if (parsed.minimumShare < 0 || parsed.minimumShare > 1) {
            reader.report(inventory_error::ShareOutOfRange, "minimum_share");
            parsed.minimumShare = 0;
        }
        parsed.queueLength
            = integerOr(reader, "queue_length", parsed.queueLength, 1, maximumQueueLength);
        parsed.preemptible = reader.boolean("preemptible").value_or(false);
        parsed.match = parseMatch(reader);
        parsed.configuredLimits = parseLimits(reader);
        m_document.classes.push_back(std::move(parsed));
    }

    static class_match parseMatch(table_reader &parent)
    {
        class_match match;
        auto reader = parent.table("match");
        if (!reader)
            return match;
        match.account = reader->text("caller").value_or("");
        match.model = reader->text("model").value_or("");
        match.service = reader->text("service").value_or("");
        match.pathPrefix = reader->text("path_prefix").value_or("");
        if (!match.pathPrefix.empty())
            checkPath(*reader, match.pathPrefix);
        // Only services have paths to match, and only engines have models.
        if (!match.pathPrefix.empty() && match.service.empty())
            reader->report(inventory_error::KeyNotApplicable, "path_prefix");
        if (!match.model.empty() && !match.service.empty())
            reader->report(inventory_error::KeyNotApplicable, "model");
        reader->reportUnknownKeys();
        return match;
    }

    static std::optional<double> parseRate(table_reader &reader, std::string_view key)
    {
        const auto rate = reader.number(key);
        if (rate && *rate <= 0)
            reader.report(inventory_error::InvalidLimit, key);
        return rate;
    }

    static double parseBurst(table_reader &reader, std::string_view key, bool hasRate,
                             double fallback)
    {
        const auto burst = reader.number(key);
        if (burst && *burst < 1)
            reader.report(inventory_error::BurstBelowOne, key);
        if (burst && !hasRate)
            reader.report(inventory_error::BurstWithoutRate, key);
        return burst.value_or(fallback);
    }

    static limits parseLimits(table_reader &parent)
    {
        limits limits;
        auto reader = parent.table("limits");
        if (!reader)
            return limits;
        limits.requestsPerSecond = parseRate(*reader, "requests_per_second");
        limits.requestBurst = parseBurst(*reader, "request_burst",
                                         reader->has("requests_per_second"), limits.requestBurst);
        limits.tokensPerSecond = parseRate(*reader, "tokens_per_second");
        // The default burst of a token limit is the number of tokens of one second.
        limits.tokenBurst
            = parseBurst(*reader, "token_burst", reader->has("tokens_per_second"),
                         limits.tokensPerSecond ? std::max(1.0, *limits.tokensPerSecond) : 0);
        if (const auto value = reader->integer("concurrency", 0, maximumConcurrency)) {
            limits.concurrency = static_cast<std::uint32_t>(*value);
            if (*value == 0)
                reader->report(inventory_error::InvalidLimit, "concurrency");
        }
        reader->reportUnknownKeys();
        return limits;
    }

    void parseClientAccount(table_reader &reader)
    {
        client_account account;
        account.name = name(reader, "name");
        account.tokenHashes = reader.textList("token_hashes");
        if (!reader.has("token_hashes"))
            reader.report(core_error::MissingKey, "token_hashes");
        else if (account.tokenHashes.empty() || account.tokenHashes.size() > maximumListLength)
            reader.report(core_error::OutOfRange, "token_hashes", "1 to 256 hashes");
        // The error leaves out the text, which may be a token pasted by mistake.
        for (const auto &hash : account.tokenHashes) {
            if (!isTokenHash(hash))
                reader.report(inventory_error::InvalidTokenHash, "token_hashes", account.name);
        }
        account.defaultClass = m_classes.resolve(reader, "default_class");
        account.configuredLimits = parseLimits(reader);
        m_document.accounts.push_back(std::move(account));
    }

    void parsePlacement(table_reader &reader)
    {
        placement placement;
        placement.model = modelName(reader, "model");
        placement.version = modelName(reader, "version");
        placement.endpoint = m_endpoints.resolve(reader, "endpoint");
        placement.role = reader.text("role").value_or("mixed");
        if (placement.role != "mixed" && placement.role != "prefill" && placement.role != "decode")
            reader.report(inventory_error::InvalidRole, "role", placement.role);
        m_document.placements.push_back(std::move(placement));
    }

    void parseDrain(table_reader &reader)
    {
        drain drain;
        if (reader.has("host")) {
            drain.kind = drain_target_kind::Host;
            drain.target = reader.requiredText("host");
            reportInapplicableKeys(reader, {"endpoint"});
            reader.text("endpoint");
        } else {
            drain.target = reader.requiredText("endpoint");
        }
        m_document.drains.push_back(std::move(drain));
    }

    table_reader m_root;
    core::error_list &m_errors;
    document m_document;
    detail::source_lines m_lines;
    name_index m_regions;
    name_index m_dataCentres;
    name_index m_endpoints;
    name_index m_tiers;
    name_index m_classes;
};

} // namespace

parse_result parse(std::string_view text, std::string_view fileName)
{
    const auto root = core::parseToml(text, fileName, maximumInventoryBytes);
    if (const auto *error = std::get_if<core::located_error>(&root))
        return std::vector{*error};
    core::error_list errors(fileName);
    auto document = parser(std::get<core::toml_table>(root), errors).parse();
    if (!errors.empty())
        return errors.takeSorted();
    return document;
}

} // namespace quetzalcleat::inventory
