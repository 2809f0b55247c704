#include "LibCore/core_error.h"
#include "LibExperiment/baseline_policy.h"
#include "LibExperiment/experiment.h"
#include "LibExperiment/experiment_error.h"
#include "LibExperiment/workload_parser.h"
#include "LibInventory/parser.h"
#include "LibPolicy/decision_core.h"

#include <fstream>
#include <sstream>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace core = quetzalcleat::core;
namespace experiment = quetzalcleat::experiment;
namespace inventory = quetzalcleat::inventory;
namespace policy = quetzalcleat::policy;

namespace {

std::string readExample(const std::string &name)
{
    std::ifstream stream(std::string(EXAMPLES_FOLDER) + '/' + name);
    std::ostringstream content;
    content << stream.rdbuf();
    return content.str();
}

inventory::document documentOf(const std::string &name)
{
    return std::get<inventory::document>(inventory::parse(readExample(name), name));
}

experiment::workload shortWorkload(const inventory::document &document)
{
    auto load = std::get<experiment::workload>(
        experiment::parseWorkload(readExample("workloads/spennuvir.toml"), "workload", document));
    load.duration = std::chrono::seconds(20);
    return load;
}

experiment::scenario scenarioNamed(std::string_view name)
{
    return *std::ranges::find(experiment::scenarios(), name, &experiment::scenario::name);
}

template <typename Policy>
experiment::run_report runOnce(std::string_view scenario, std::uint64_t seed)
{
    const auto document = documentOf("spennuvir.toml");
    const auto load = shortWorkload(document);
    return experiment::virtual_experiment<Policy>(document, load, scenarioNamed(scenario), "p",
                                                  seed)
        .run();
}

} // namespace

// Guards against comparisons whose figures depend on anything but the seed.
TEST(VirtualExperiment, EqualSeedsGiveEqualReports)
{
    const auto first = runOnce<policy::decision_core>("straggler-crash", 3);
    const auto second = runOnce<policy::decision_core>("straggler-crash", 3);
    EXPECT_EQ(experiment::formatJson({first}), experiment::formatJson({second}));
}

// Guards against requests that are missing in the report, which would improve the figures of a
// policy.
template <typename Policy>
class accounting : public testing::Test
{
};
using policies = testing::Types<policy::decision_core, experiment::round_robin_policy,
                                experiment::least_in_flight_policy>;
TYPED_TEST_SUITE(accounting, policies);

TYPED_TEST(accounting, EveryOfferedRequestIsCountedOnce)
{
    for (const auto *name : {"steady", "overload", "crash-in-burst", "cut-data-centre"}) {
        const auto report = runOnce<TypeParam>(name, 5);
        for (const auto &row : report.classes) {
            EXPECT_EQ(row.offered,
                      row.completed + row.refused + row.shed + row.expired + row.broken)
                << name << ' ' << row.name;
            EXPECT_GT(row.offered, 0U) << name << ' ' << row.name;
        }
        EXPECT_GE(report.generatedTokens, report.deliveredTokens) << name;
        EXPECT_EQ(report.tierViolations, 0U) << name;
        EXPECT_EQ(report.crossEngineResumptions, 0U) << name;
    }
}

// Guards against figures of zero for what nothing has counted.
TEST(Report, NamesFiguresThatCallersCannotSee)
{
    auto report = runOnce<policy::decision_core>("steady", 5);
    EXPECT_EQ(experiment::formatTable({report}).find("unknown"), std::string::npos);
    const auto counted = nlohmann::json::parse(experiment::formatJson({report}));
    report.seenByCallersOnly = true;
    EXPECT_NE(experiment::formatTable({report}).find("wasted_% unknown"), std::string::npos);
    const auto seen = nlohmann::json::parse(experiment::formatJson({report}));
    for (const char *figure : {"wasted_part", "cross_region_bytes", "retries", "preemptions",
                               "tier_violations", "splices"}) {
        EXPECT_TRUE(counted.at(0).at(figure).is_number()) << figure;
        EXPECT_TRUE(seen.at(0).at(figure).is_null()) << figure;
    }
    EXPECT_EQ(seen.at(0).at("goodput_per_s"), counted.at(0).at("goodput_per_s"));
}

// Guards against an overload scenario whose demand does not exceed the capacity: the baseline
// router would then look as good as one with tiers.
TEST(VirtualExperiment, OverloadHurtsTheBaseline)
{
    const auto report = runOnce<experiment::round_robin_policy>("overload", 1);
    std::uint64_t offered = 0;
    std::uint64_t attained = 0;
    for (const auto &row : report.classes) {
        offered += row.offered;
        attained += row.attained;
    }
    EXPECT_LT(attained * 10, offered * 9);
}

// Guards against mistakes in a workload file that go unreported and change what is measured.
TEST(WorkloadParser, RefusesMistakesWithTheirLine)
{
    const auto document = documentOf("spennuvir.toml");
    struct mistake
    {
        std::string text;
        std::error_code code;
        std::uint32_t line;
    };
    const std::string head
        = "name = \"w\"\n[[class]]\nname = \"booking\"\nservice = \"dispatch\"\n";
    const std::string tail = "caller = [{ name = \"dispatch-desk\", weight = 1 }]\n";
    const mistake mistakes[] = {
        {head + "speed = 1\n" + tail, core::core_error::UnknownKey, 5},
        {head + "requests_per_s = -1\n" + tail, core::core_error::OutOfRange, 5},
        {head + "requests_per_s = \"fast\"\n" + tail, core::core_error::WrongType, 5},
        {head + "model = \"m\"\n" + tail, experiment::experiment_error::ModelOrService, 5},
        {head + "caller = [{ name = \"nobody\", weight = 1 }]\n",
         experiment::experiment_error::UnknownAccount, 5},
        {"name = \"w\"\n[[class]]\nname = \"none\"\nservice = \"dispatch\"\n" + tail,
         experiment::experiment_error::UnknownClass, 3},
        {"name = \"w\"\n[[class\n", core::core_error::InvalidSyntax, 2},
    };
    for (const auto &wrong : mistakes) {
        const auto parsed = experiment::parseWorkload(wrong.text, "w.toml", document);
        const auto *errors = std::get_if<std::vector<core::located_error>>(&parsed);
        ASSERT_NE(errors, nullptr) << wrong.text;
        EXPECT_EQ(errors->front().code, wrong.code) << wrong.text;
        EXPECT_EQ(errors->front().line, wrong.line) << wrong.text;
    }
    EXPECT_TRUE(std::holds_alternative<experiment::workload>(
        experiment::parseWorkload(head + tail, "w.toml", document)));
}

// Guards against example workloads that no longer fit their inventories.
TEST(WorkloadParser, ExamplesAreAccepted)
{
    for (const auto *name : {"spennuvir.toml", "kasavu.toml"}) {
        const auto parsed = experiment::parseWorkload(readExample(std::string("workloads/") + name),
                                                      name, documentOf(name));
        EXPECT_TRUE(std::holds_alternative<experiment::workload>(parsed)) << name;
    }
}
