#include "LibExperiment/baseline_policy.h"
#include "LibExperiment/experiment.h"
#include "LibExperiment/workload_parser.h"
#include "LibInventory/parser.h"
#include "LibPolicy/decision_core.h"

#include <fstream>
#include <sstream>

#include <gtest/gtest.h>

namespace experiment = quetzalcleat::experiment;
namespace inventory = quetzalcleat::inventory;
namespace policy = quetzalcleat::policy;

namespace {

constexpr std::uint64_t seeds[] = {1, 2, 3};

double protectedAttainmentOf(const experiment::run_report &report)
{
    return report.protectedAttainment();
}

/// Uses engines of its own region only, however long the wait.
class local_engines_policy : public policy::decision_core
{
public:
    explicit local_engines_policy(std::uint64_t seed) : basic_decision_core(seed, options()) { }

private:
    static policy::policy_options options()
    {
        policy::policy_options result;
        result.maximumSpillDelay = std::chrono::hours(1);
        result.spillFraction = 1e6;
        return result;
    }
};

/// The performance targets for each example deployment. The bounds come from the requirements.
class policy_targets : public testing::TestWithParam<const char *>
{
protected:
    void SetUp() override
    {
        const std::string name = GetParam();
        m_document = std::get<inventory::document>(inventory::parse(read(name + ".toml"), name));
        m_load = std::get<experiment::workload>(
            experiment::parseWorkload(read("workloads/" + name + ".toml"), name, m_document));
        m_load.duration = std::chrono::seconds(60);
    }

    template <typename Policy>
    std::vector<experiment::run_report> run(std::string_view scenarioName) const
    {
        const auto &conditions = *std::ranges::find(experiment::scenarios(), scenarioName,
                                                    &experiment::scenario::name);
        std::vector<experiment::run_report> reports;
        for (const auto seed : seeds)
            reports.push_back(experiment::virtual_experiment<Policy>(m_document, m_load, conditions,
                                                                     "policy", seed)
                                  .run());
        return reports;
    }

    template <typename Figure>
    static double median(const std::vector<experiment::run_report> &reports, Figure figure)
    {
        std::vector<double> values;
        values.reserve(reports.size());
        for (const auto &report : reports)
            values.push_back(static_cast<double>(figure(report)));
        return experiment::quantile(values, 0.5);
    }

    static double goodputOf(const std::vector<experiment::run_report> &reports)
    {
        return median(reports, [](const auto &report) { return report.goodput(); });
    }

private:
    static std::string read(const std::string &name)
    {
        std::ifstream stream(std::string(EXAMPLES_FOLDER) + '/' + name);
        std::ostringstream content;
        content << stream.rdbuf();
        return content.str();
    }

    inventory::document m_document;
    experiment::workload m_load;
};

} // namespace

INSTANTIATE_TEST_SUITE_P(deployments, policy_targets, testing::Values("spennuvir", "kasavu"),
                         [](const auto &entry) { return std::string(entry.param); });

// Guards against tiers that do not protect their classes at twice the capacity, with a straggler
// and late load reports.
TEST_P(policy_targets, ProtectedClassesMeetTheirTargetInOverload)
{
    const auto reports = run<policy::decision_core>("overload-straggler-late");
    EXPECT_GE(median(reports, protectedAttainmentOf), 0.95);
}

// Guards against shedding or preemption in favour of a lower tier, answers made of two generations,
// and classes that are never served.
TEST_P(policy_targets, GuaranteesHoldInOverload)
{
    for (const auto &report : run<policy::decision_core>("overload-straggler-late")) {
        EXPECT_EQ(report.tierViolations, 0U);
        EXPECT_EQ(report.crossEngineResumptions, 0U);
        for (const auto &row : report.classes)
            EXPECT_GT(row.completed, 0U) << row.name;
    }
}

// Guards against a policy that is no better than round robin when demand exceeds capacity.
TEST_P(policy_targets, GoodputInOverloadIsFarAboveRoundRobin)
{
    EXPECT_GE(goodputOf(run<policy::decision_core>("overload")),
              1.3 * goodputOf(run<experiment::round_robin_policy>("overload")));
}

// Guards against a policy with less goodput than a baseline although capacity suffices.
TEST_P(policy_targets, GoodputWithLateReportsMatchesTheBestBaseline)
{
    EXPECT_GE(goodputOf(run<policy::decision_core>("late-reports")),
              std::max(goodputOf(run<experiment::round_robin_policy>("late-reports")),
                       goodputOf(run<experiment::least_in_flight_policy>("late-reports"))));
}

// Guards against wasted work: preempted, repeated or generated without being delivered.
TEST_P(policy_targets, LittleWorkIsWastedWithoutFaults)
{
    for (const char *name : {"steady", "overload"})
        EXPECT_LE(median(run<policy::decision_core>(name),
                         [](const auto &report) { return report.wastedFraction(); }),
                  0.02)
            << name;
}

// Guards against work that is wasted after a crash.
TEST_P(policy_targets, LittleWorkIsWastedWithAStragglerAndACrash)
{
    EXPECT_LE(median(run<policy::decision_core>("straggler-crash"),
                     [](const auto &report) { return report.wastedFraction(); }),
              0.05);
}

// Guards against billed cross-region traffic while the region's own engines suffice.
TEST_P(policy_targets, CrossRegionBytesAreATenthOfRoundRobin)
{
    const auto bytes = [](const auto &report) { return report.crossRegionBytes; };
    ASSERT_GE(median(run<local_engines_policy>("even-regions"), protectedAttainmentOf), 0.95)
        << "the region's own engines do not suffice";
    EXPECT_LE(median(run<policy::decision_core>("even-regions"), bytes),
              0.1 * median(run<experiment::round_robin_policy>("even-regions"), bytes));
}

// Guards against cross-region traffic without benefit. Where the demand of a region exceeds its own
// engines, the protected classes meet their target only with the engines of other regions.
TEST_P(policy_targets, CrossRegionBytesServeCallersOfAFullRegion)
{
    const auto bytes = [](const auto &report) { return report.crossRegionBytes; };
    EXPECT_LT(median(run<local_engines_policy>("steady"), protectedAttainmentOf), 0.95);
    const auto reports = run<policy::decision_core>("steady");
    EXPECT_GE(median(reports, protectedAttainmentOf), 0.95);
    EXPECT_LT(median(reports, bytes),
              median(run<experiment::least_in_flight_policy>("steady"), bytes));
}
