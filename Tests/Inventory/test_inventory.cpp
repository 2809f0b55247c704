#include "LibCore/core_error.h"
#include "LibInventory/diff.h"
#include "LibInventory/drain_edit.h"
#include "LibInventory/inventory_error.h"
#include "LibInventory/parser.h"

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace core = quetzalcleat::core;
namespace inventory = quetzalcleat::inventory;
using core::core_error;
using inventory::inventory_error;

namespace {

const std::string validInventory = R"(deployment = "trial"
[ledger]
answer_bytes = 1000
answer_retention_s = 90000
[weight_store]
concurrent_loads = 3
[[region]]
name = "north"
[[data_centre]]
name = "north-a"
region = "north"
[[host]]
name = "north-a-1"
data_centre = "north-a"
caller_address = "127.0.0.1:1001"
operator_address = "127.0.0.1:1002"
peer_address = "127.0.0.1:1003"
control = true
[[endpoint]]
name = "engine-1"
kind = "engine"
data_centre = "north-a"
address = "127.0.0.1:1004"
models = ["notes", "history"]
adapters = ["depot"]
capacity = 8
kv_blocks = 100
accelerators = 2
checks_fencing = true
can_resume = true
[[endpoint]]
name = "dispatch-1"
kind = "service"
data_centre = "north-a"
address = "127.0.0.1:1005"
service = "dispatch"
capacity = 4
non_repeatable = [{ method = "POST", path_prefix = "/bookings" }]
[[tier]]
name = "first"
rank = 0
[[tier]]
name = "second"
rank = 1
[[class]]
name = "booking"
tier = "first"
match = { service = "dispatch", path_prefix = "/bookings" }
minimum_share = 0.5
deadline_ms = 9000
[[class]]
name = "note"
tier = "second"
match = { caller = "depot", model = "notes" }
time_to_first_token_ms = 500
time_between_tokens_ms = 40
deadline_ms = 20000
minimum_share = 0.4
maximum_wait_ms = 5000
queue_length = 10
preemptible = true
limits = { tokens_per_second = 50 }
[[caller]]
name = "depot"
token_hashes = ["0000000000000000000000000000000000000000000000000000000000000001"]
default_class = "note"
limits = { requests_per_second = 2.5, request_burst = 5, concurrency = 6 }
[[caller]]
name = "desk"
token_hashes = ["0000000000000000000000000000000000000000000000000000000000000002"]
default_class = "booking"
[[placement]]
model = "notes"
version = "2026.1"
endpoint = "engine-1"
role = "decode"
[[drain]]
host = "north-a-1"
)";

std::vector<core::located_error> errorsOf(std::string_view text)
{
    const auto parsed = inventory::parse(text, "trial.toml");
    const auto *errors = std::get_if<std::vector<core::located_error>>(&parsed);
    return errors ? *errors : std::vector<core::located_error>();
}

inventory::document documentOf(std::string_view text)
{
    const auto parsed = inventory::parse(text, "trial.toml");
    if (const auto *document = std::get_if<inventory::document>(&parsed))
        return *document;
    for (const auto &error : std::get<1>(parsed))
        ADD_FAILURE() << error.line << ": " << error.code.message() << ": " << error.detail;
    return {};
}

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const auto position = text.find(from);
    EXPECT_NE(position, std::string::npos) << from;
    return position == std::string::npos ? text : text.replace(position, from.size(), to);
}

std::string readExample(const std::string &name)
{
    std::ifstream stream(EXAMPLES_FOLDER "/" + name, std::ios::binary);
    std::ostringstream content;
    content << stream.rdbuf();
    return content.str();
}

struct malformed_case
{
    std::string from;
    std::string to;
    std::error_code code;
    std::uint32_t line;
};

const std::vector<malformed_case> malformedCases{
    {"deployment = \"trial\"", "", core_error::MissingKey, 1},
    {"\"trial\"", "\"a b\"", core_error::InvalidName, 1},
    {"\"trial\"", "\"trial", core_error::InvalidSyntax, 1},
    {"\"trial\"", "\"trial\"\nregions = 1", core_error::UnknownKey, 2},
    {"= 1000", "= 0", core_error::OutOfRange, 3},
    {"= 90000", "= 59", core_error::OutOfRange, 4},
    {"= 90000", "= 1979-05-27", core_error::WrongType, 4},
    {"concurrent_loads = 3", "loads = 3", core_error::UnknownKey, 6},
    {"concurrent_loads = 3", "concurrent_loads = 0", core_error::OutOfRange, 6},
    {"[[region]]\nname = \"north\"", "[[region]]\nname = \"north\"\n[[region]]\nname = \"north\"",
     core_error::DuplicateName, 9},
    {"region = \"north\"", "region = \"south\"", inventory_error::DanglingReference, 11},
    {"region = \"north\"", "", core_error::MissingKey, 9},
    {"data_centre = \"north-a\"", "data_centre = \"north-b\"", inventory_error::DanglingReference,
     14},
    {"127.0.0.1:1002", "127.0.0.1:1001", core_error::DuplicateAddress, 12},
    {"127.0.0.1:1003", "north:1003", core_error::InvalidAddress, 17},
    {"control = true", "control = 1", core_error::WrongType, 18},
    {"\"engine-1\"", "\"north-a-1\"", core_error::DuplicateName, 19},
    {"\"engine-1\"", "\"dispatch-1\"", core_error::DuplicateName, 31},
    {"\"engine\"", "\"motor\"", inventory_error::InvalidKind, 21},
    {"127.0.0.1:1004", "127.0.0.1:1003", core_error::DuplicateAddress, 19},
    {"[\"notes\", \"history\"]", "[]", core_error::OutOfRange, 24},
    {"[\"notes\", \"history\"]", "[\"notes\", 5]", core_error::WrongType, 24},
    {"[\"notes\", \"history\"]", "[\"notes\", \"notes\"]", core_error::DuplicateName, 24},
    {"[\"notes\", \"history\"]", "[\"notes\", \"a b\"]", inventory_error::InvalidModelName, 24},
    {"capacity = 8", "capacity = 0", inventory_error::ZeroCapacity, 26},
    {"capacity = 8", "capacity = -1", core_error::OutOfRange, 26},
    {"capacity = 8", "", core_error::MissingKey, 19},
    {"can_resume = true", "service = \"dispatch\"", inventory_error::KeyNotApplicable, 30},
    {"capacity = 4", "capacity = 4\nmodels = [\"notes\"]", inventory_error::KeyNotApplicable, 38},
    {"service = \"dispatch\"", "", core_error::MissingKey, 31},
    {"method = \"POST\"", "method = \"post\"", inventory_error::InvalidMethod, 38},
    {"path_prefix = \"/bookings\" }]", "path_prefix = \"bookings\" }]",
     inventory_error::InvalidPath, 38},
    {"[[tier]]",
     "[[endpoint]]\nname = \"dispatch-2\"\nkind = \"service\"\ndata_centre = \"north-a\"\n"
     "address = \"127.0.0.1:1006\"\nservice = \"dispatch\"\ncapacity = 1\n[[tier]]",
     inventory_error::InconsistentService, 39},
    {"rank = 1", "rank = 0", inventory_error::DuplicateRank, 42},
    {"rank = 1", "", core_error::MissingKey, 42},
    {"tier = \"second\"", "tier = \"third\"", inventory_error::DanglingReference, 53},
    {"service = \"dispatch\", path", "service = \"despatch\", path",
     inventory_error::DanglingReference, 45},
    {"service = \"dispatch\", path", "path", inventory_error::KeyNotApplicable, 48},
    {"caller = \"depot\", model", "caller = \"depots\", model", inventory_error::DanglingReference,
     51},
    {"model = \"notes\" }", "model = \"poems\" }", inventory_error::DanglingReference, 51},
    {"caller = \"depot\", model = \"notes\"", "service = \"dispatch\", path_prefix = \"/bookings\"",
     inventory_error::DuplicateMatch, 51},
    {"deadline_ms = 20000", "deadline_ms = 499", inventory_error::DeadlineBelowTarget, 57},
    {"deadline_ms = 20000", "deadline_ms = 4999", inventory_error::WaitAboveDeadline, 59},
    {"deadline_ms = 20000", "deadline_s = 20", core_error::UnknownKey, 57},
    {"minimum_share = 0.4", "minimum_share = 0.51", inventory_error::SharesExceedCapacity, 51},
    {"minimum_share = 0.4", "minimum_share = -0.1", inventory_error::ShareOutOfRange, 58},
    {"minimum_share = 0.4", "minimum_share = nan", core_error::OutOfRange, 58},
    {"queue_length = 10", "queue_length = 0", core_error::OutOfRange, 60},
    {"tokens_per_second = 50", "tokens_per_second = 0", inventory_error::InvalidLimit, 62},
    {"tokens_per_second = 50", "token_burst = 50", inventory_error::BurstWithoutRate, 62},
    {"0000001\"]", "000000G\"]", inventory_error::InvalidTokenHash, 65},
    {"0000001\"]", "00000A1\"]", inventory_error::InvalidTokenHash, 65},
    {"0000001\"]", "000001\"]", inventory_error::InvalidTokenHash, 65},
    {"0000002\"]", "0000001\"]", inventory_error::DuplicateTokenHash, 68},
    {"[\"0000000000000000000000000000000000000000000000000000000000000002\"]", "[]",
     core_error::OutOfRange, 70},
    {"default_class = \"note\"", "default_class = \"notes\"", inventory_error::DanglingReference,
     66},
    {"request_burst = 5", "request_burst = 0.5", inventory_error::BurstBelowOne, 67},
    {"concurrency = 6", "concurrency = 0", inventory_error::InvalidLimit, 67},
    {"requests_per_second = 2.5", "requests_per_second = inf", core_error::OutOfRange, 67},
    {"requests_per_second = 2.5", "requests_per_minute = 2.5", core_error::UnknownKey, 67},
    {"version = \"2026.1\"", "", core_error::MissingKey, 72},
    {"model = \"notes\"\nversion", "model = \"poems\"\nversion", inventory_error::DanglingReference,
     72},
    {"endpoint = \"engine-1\"", "endpoint = \"dispatch-1\"", inventory_error::KeyNotApplicable, 72},
    {"role = \"decode\"",
     "[[placement]]\nmodel = \"notes\"\nversion = \"2\"\nendpoint = \"engine-1\"",
     inventory_error::DuplicatePlacement, 76},
    {"role = \"decode\"", "role = \"encode\"", inventory_error::InvalidRole, 76},
    {"host = \"north-a-1\"", "host = \"engine-1\"", inventory_error::DanglingReference, 77},
    {"host = \"north-a-1\"", "", core_error::MissingKey, 77},
    {"host = \"north-a-1\"", "host = \"north-a-1\"\n[[drain]]\nhost = \"north-a-1\"",
     inventory_error::DuplicateDrain, 79},
    {"host = \"north-a-1\"", "host = \"north-a-1\"\nendpoint = \"engine-1\"",
     inventory_error::KeyNotApplicable, 79},
};

/// Checks the properties that users of a document rely on.
void assertInvariants(const inventory::document &document)
{
    RC_ASSERT(!document.deployment.empty() && !document.tiers.empty() && !document.classes.empty());
    for (const auto &dataCentre : document.dataCentres)
        RC_ASSERT(dataCentre.region < document.regions.size());
    std::set<std::string> drainable;
    for (const auto &host : document.hosts) {
        RC_ASSERT(host.dataCentre < document.dataCentres.size());
        RC_ASSERT(drainable.insert(host.name).second);
    }
    for (const auto &endpoint : document.endpoints) {
        RC_ASSERT(endpoint.dataCentre < document.dataCentres.size());
        RC_ASSERT(endpoint.capacity > 0 && endpoint.address.port != 0);
        RC_ASSERT(drainable.insert(endpoint.name).second);
        const bool isEngine = endpoint.kind == inventory::endpoint_kind::Engine;
        RC_ASSERT(endpoint.models.empty() != isEngine && endpoint.service.empty() == isEngine);
    }
    double shares = 0;
    for (const auto &requestClass : document.classes) {
        RC_ASSERT(requestClass.tier < document.tiers.size());
        RC_ASSERT(requestClass.maximumWait <= requestClass.deadline);
        RC_ASSERT(requestClass.queueLength > 0 && requestClass.minimumShare >= 0);
        shares += requestClass.minimumShare;
    }
    RC_ASSERT(shares <= 1 + 1e-6);
    std::set<std::string> hashes;
    for (const auto &account : document.accounts) {
        RC_ASSERT(account.defaultClass < document.classes.size());
        RC_ASSERT(account.configuredLimits.requestBurst >= 1);
        for (const auto &hash : account.tokenHashes)
            RC_ASSERT(hash.size() == 64 && hashes.insert(hash).second);
    }
    for (const auto &placement : document.placements)
        RC_ASSERT(placement.endpoint < document.endpoints.size());
    for (const auto &drain : document.drains)
        RC_ASSERT(drainable.contains(drain.target));
}

void assertNoInvalidDocument(const std::string &text)
{
    const auto parsed = inventory::parse(text, "trial.toml");
    if (const auto *document = std::get_if<inventory::document>(&parsed))
        assertInvariants(*document);
    else
        RC_ASSERT(!std::get<1>(parsed).empty());
}

std::vector<std::string> linesOf(const std::string &text)
{
    std::vector<std::string> lines;
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);)
        lines.push_back(line);
    return lines;
}

} // namespace

// Guards against a documented key that is not read.
TEST(Parser, ReadsEveryKey)
{
    const auto document = documentOf(validInventory);
    EXPECT_EQ(document.ledger.answerBytes, 1000U);
    EXPECT_EQ(document.ledger.answerRetention, std::chrono::seconds(90000));
    EXPECT_EQ(document.weightStore.concurrentLoads, 3U);
    ASSERT_EQ(document.endpoints.size(), 2U);
    const auto &engine = document.endpoints[0];
    EXPECT_EQ(engine.adapters, std::vector<std::string>{"depot"});
    EXPECT_EQ(engine.kvBlocks, 100U);
    EXPECT_EQ(engine.accelerators, 2U);
    EXPECT_TRUE(engine.checksFencing && engine.canResume);
    EXPECT_EQ(document.endpoints[1].nonRepeatable.at(0).pathPrefix, "/bookings");
    ASSERT_EQ(document.classes.size(), 2U);
    EXPECT_EQ(document.classes[0].maximumWait, std::chrono::seconds(9));
    const auto &note = document.classes[1];
    EXPECT_EQ(document.tiers.at(note.tier).name, "second");
    EXPECT_EQ(note.match.account + note.match.model, "depotnotes");
    EXPECT_EQ(note.timeToFirstToken, std::chrono::milliseconds(500));
    EXPECT_EQ(note.timeBetweenTokens, std::chrono::milliseconds(40));
    EXPECT_EQ(note.deadline, std::chrono::seconds(20));
    EXPECT_DOUBLE_EQ(note.minimumShare, 0.4);
    EXPECT_EQ(note.maximumWait, std::chrono::seconds(5));
    EXPECT_EQ(note.queueLength, 10U);
    EXPECT_TRUE(note.preemptible);
    EXPECT_EQ(note.configuredLimits.tokensPerSecond, 50.0);
    EXPECT_EQ(note.configuredLimits.tokenBurst, 50.0);
    const auto &configuredLimits = document.accounts.at(0).configuredLimits;
    EXPECT_EQ(configuredLimits.requestsPerSecond, 2.5);
    EXPECT_EQ(configuredLimits.requestBurst, 5.0);
    EXPECT_EQ(configuredLimits.concurrency, 6U);
    EXPECT_EQ(document.accounts.at(1).defaultClass, 0U);
    EXPECT_EQ(document.placements.at(0).role, "decode");
    EXPECT_EQ(document.drains.at(0).target, "north-a-1");
}

// Guards against accepting a faulty document, and against errors with a wrong line number.
TEST(Parser, RefusesMalformedDocuments)
{
    for (const auto &malformed : malformedCases) {
        const auto errors = errorsOf(replaced(validInventory, malformed.from, malformed.to));
        const bool found = std::any_of(errors.begin(), errors.end(), [&](const auto &error) {
            return error.code == malformed.code && error.line == malformed.line
                && error.file == "trial.toml";
        });
        EXPECT_TRUE(found) << malformed.from << " -> " << malformed.to << ": " << errors.size()
                           << " errors, first "
                           << (errors.empty() ? "none" : errors[0].code.message()) << " at "
                           << (errors.empty() ? 0 : errors[0].line);
    }
}

// Guards against unbounded memory: an oversized document is refused before it is parsed, and a
// document that is wrong throughout gives a bounded list of errors.
TEST(Parser, LimitsInputSizeAndNumberOfErrors)
{
    const auto oversized = errorsOf(std::string(inventory::maximumInventoryBytes + 1, '#'));
    ASSERT_EQ(oversized.size(), 1U);
    EXPECT_EQ(oversized[0].code, core_error::FileTooLarge);
    std::string text;
    for (int index = 0; index < 5000; ++index)
        text += "[[host]]\n";
    EXPECT_EQ(errorsOf(text).size(), 100U);
    for (const std::string part : {"[[host]]\n", "1,", "{"}) {
        text = "a = [";
        while (text.size() < 1024 * 1024)
            text += part;
        ASSERT_EQ(errorsOf(text).size(), 1U) << part;
        EXPECT_EQ(errorsOf(text)[0].code, core_error::FileTooLarge) << part;
    }
}

// Guards against examples that no longer match the format or the sizes on the design page.
TEST(Examples, HaveTheSizesOfTheDesignPage)
{
    for (const auto &[file, engines] : {std::pair("spennuvir.toml", 12), {"kasavu.toml", 10}}) {
        const auto document = documentOf(readExample(file));
        EXPECT_EQ(document.regions.size(), 3U);
        EXPECT_EQ(document.dataCentres.size(), 3U);
        EXPECT_EQ(document.hosts.size(), 9U);
        EXPECT_EQ(document.endpoints.size(), engines + 3U);
        EXPECT_EQ(document.accounts.size(), 10U);
        EXPECT_EQ(std::count_if(document.hosts.begin(), document.hosts.end(),
                                [](const auto &host) { return host.control; }),
                  3);
        for (const auto &endpoint : document.endpoints) {
            const bool isEngine = endpoint.kind == inventory::endpoint_kind::Engine;
            EXPECT_EQ(endpoint.nonRepeatable.empty(), isEngine);
            EXPECT_EQ(endpoint.address.ip, "127.0.0.1");
        }
    }
}

// Guards against changes that are missing from the diff that an operator reads before applying.
TEST(Diff, ListsChangesByEntityAndKey)
{
    const auto before = documentOf(validInventory);
    EXPECT_TRUE(inventory::diff(before, before).empty());
    auto text = replaced(validInventory, "capacity = 8", "capacity = 9");
    text = replaced(text, "name = \"desk\"", "name = \"counter\"");
    text = replaced(text, "concurrency = 6", "concurrency = 7");
    using inventory::change_kind;
    const std::vector<inventory::change> expected{
        {change_kind::Changed, "endpoint", "engine-1", "capacity", "8", "9"},
        {change_kind::Added, "caller", "counter", "", "", ""},
        {change_kind::Changed, "caller", "depot", "limits.concurrency", "6", "7"},
        {change_kind::Removed, "caller", "desk", "", "", ""}};
    EXPECT_EQ(inventory::diff(before, documentOf(text)), expected);
}

// Guards against a drain command that rewrites other parts of the operators' text.
TEST(DrainEdit, AppendsOneTable)
{
    const auto edited = inventory::addDrain(validInventory, "engine-1");
    ASSERT_TRUE(edited);
    EXPECT_EQ(edited.value(), validInventory + "\n[[drain]]\nendpoint = \"engine-1\"\n");
    EXPECT_EQ(documentOf(edited.value()).drains.size(), 2U);
    EXPECT_EQ(inventory::addDrain(validInventory, "north-a-1").value(), validInventory);
}

// Guards against a drain edit that gives a document which no host accepts.
TEST(DrainEdit, RefusesWhatItCannotEdit)
{
    EXPECT_EQ(inventory::addDrain(validInventory, "engine-9").error(),
              inventory_error::DanglingReference);
    EXPECT_EQ(inventory::addDrain("x = ", "engine-1").error(), inventory_error::InvalidDocument);
    auto text = replaced(validInventory, "[[drain]]\nhost = \"north-a-1\"\n", "");
    text = "drain = [{ host = \"north-a-1\" }]\n" + text;
    EXPECT_EQ(inventory::addDrain(text, "engine-1").error(), inventory_error::DrainsNotExtensible);
}

// Guards against a crash of the parser on arbitrary bytes.
RC_GTEST_PROP(ParserProperty, RandomBytesNeverCrash, (const std::string &bytes))
{
    assertNoInvalidDocument(bytes);
}

// Guards against a crash, or an invalid document, when single bytes are damaged.
RC_GTEST_PROP(ParserProperty, DamagedBytesNeverGiveInvalidDocuments, ())
{
    auto text = validInventory;
    const auto changes = *rc::gen::inRange(1, 6);
    for (int change = 0; change < changes; ++change)
        text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
    assertNoInvalidDocument(text);
}

// Guards against an invalid document from lines that were dropped or copied over others. Most of
// these texts are valid TOML, so that they reach the checks after the syntax.
RC_GTEST_PROP(ParserProperty, MixedLinesNeverGiveInvalidDocuments, ())
{
    auto lines = linesOf(validInventory);
    const auto changes = *rc::gen::inRange(1, 4);
    for (int change = 0; change < changes; ++change) {
        const auto from = *rc::gen::inRange<std::size_t>(0, lines.size());
        const auto to = *rc::gen::inRange<std::size_t>(0, lines.size());
        const auto line = lines[from];
        if (*rc::gen::arbitrary<bool>())
            lines[to] = line;
        else
            lines.erase(lines.begin() + static_cast<std::ptrdiff_t>(to));
    }
    std::string text;
    for (const auto &line : lines)
        text.append(line).append("\n");
    assertNoInvalidDocument(text);
}
