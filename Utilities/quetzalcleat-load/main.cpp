#include "fleet_load.h"

#include "LibExperiment/baseline_policy.h"
#include "LibExperiment/experiment.h"
#include "LibExperiment/experiment_error.h"
#include "LibExperiment/plot.h"
#include "LibExperiment/workload_parser.h"
#include "LibInventory/parser.h"
#include "LibPolicy/decision_core.h"

#include <atomic>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include <CLI/CLI.hpp>

namespace core = quetzalcleat::core;
namespace experiment = quetzalcleat::experiment;
namespace inventory = quetzalcleat::inventory;
namespace policy = quetzalcleat::policy;

namespace {

enum class exit_code { Done = 0, WrongAnswers = 1, BadInput = 2 };

enum class run_mode { VirtualTime, ClosedLoop, Replay };

struct run_options
{
    std::string inventoryFile = "examples/spennuvir.toml";
    std::string workloadFile = "examples/workloads/spennuvir.toml";
    std::vector<std::string> scenarios;
    std::vector<std::string> policies{"quetzalcleat", "least-in-flight", "round-robin"};
    std::uint64_t firstSeed = 1;
    std::uint32_t seeds = 5;
    unsigned jobs = 4;
    bool json = false;
    std::string plotFile;
    run_mode mode = run_mode::VirtualTime;
    experiment::closed_loop_options loop;
    double utilisation = 0.6;
    std::uint32_t duration = 0; ///< Seconds; 0 for the duration of the workload.
};

struct job
{
    const experiment::scenario *conditions = nullptr;
    std::string policyName;
    std::uint64_t seed = 0;
};

std::string readFile(const std::string &path)
{
    std::ifstream stream(path, std::ios::binary);
    std::ostringstream content;
    content << stream.rdbuf();
    return content.str();
}

int reportErrors(const std::vector<core::located_error> &errors)
{
    for (const auto &error : errors)
        std::cerr << error.file << ':' << error.line << ": " << error.code.message() << ": "
                  << error.detail << '\n';
    return static_cast<int>(exit_code::BadInput);
}

template <typename Policy>
experiment::run_report runWith(const inventory::document &document,
                               const experiment::workload &load, const job &what)
{
    return experiment::virtual_experiment<Policy>(document, load, *what.conditions, what.policyName,
                                                  what.seed)
        .run();
}

core::result<experiment::run_report> runJob(const inventory::document &document,
                                            const experiment::workload &load, const job &what)
{
    if (what.policyName == "quetzalcleat")
        return runWith<policy::decision_core>(document, load, what);
    if (what.policyName == "least-in-flight")
        return runWith<experiment::least_in_flight_policy>(document, load, what);
    if (what.policyName == "round-robin")
        return runWith<experiment::round_robin_policy>(document, load, what);
    return experiment::experiment_error::UnknownPolicy;
}

core::result<std::vector<job>> makeJobs(const run_options &options)
{
    std::vector<job> jobs;
    for (const auto &name : options.scenarios) {
        const auto known = [&](const auto &entry) { return entry.name == name; };
        if (std::ranges::none_of(experiment::scenarios(), known))
            return experiment::experiment_error::UnknownScenario;
    }
    for (const auto &conditions : experiment::scenarios()) {
        if (!options.scenarios.empty()
            && std::ranges::find(options.scenarios, conditions.name) == options.scenarios.end())
            continue;
        for (const auto &policyName : options.policies) {
            for (std::uint32_t index = 0; index < options.seeds; ++index)
                jobs.push_back({&conditions, policyName, options.firstSeed + index});
        }
    }
    return jobs;
}

core::result<std::vector<experiment::run_report>> runAll(const run_options &options,
                                                         const inventory::document &document,
                                                         const experiment::workload &load)
{
    const auto jobs = makeJobs(options);
    if (!jobs)
        return jobs.error();
    std::vector<experiment::run_report> reports(jobs.value().size());
    std::atomic<std::size_t> next = 0;
    std::atomic<bool> unknownPolicy = false;
    const auto work = [&] {
        for (auto index = next++; index < reports.size(); index = next++) {
            auto report = runJob(document, load, jobs.value()[index]);
            if (report)
                reports[index] = std::move(report).value();
            else
                unknownPolicy = true;
        }
    };
    {
        std::vector<std::jthread> threads;
        for (unsigned index = 0; index < options.jobs; ++index)
            threads.emplace_back(work);
    }
    if (unknownPolicy)
        return experiment::experiment_error::UnknownPolicy;
    return reports;
}

int runLoop(const run_options &options, const inventory::document &document)
{
    bool allWhole = false;
    std::cout << experiment::runClosedLoop(document, options.loop, allWhole) << '\n';
    return static_cast<int>(allWhole ? exit_code::Done : exit_code::WrongAnswers);
}

int runExperiments(const run_options &options)
{
    const auto parsed = inventory::parse(readFile(options.inventoryFile), options.inventoryFile);
    if (const auto *errors = std::get_if<std::vector<core::located_error>>(&parsed))
        return reportErrors(*errors);
    const auto &document = std::get<inventory::document>(parsed);
    if (options.mode == run_mode::ClosedLoop)
        return runLoop(options, document);
    auto load
        = experiment::parseWorkload(readFile(options.workloadFile), options.workloadFile, document);
    if (const auto *errors = std::get_if<std::vector<core::located_error>>(&load))
        return reportErrors(*errors);
    auto &described = std::get<experiment::workload>(load);
    if (options.duration > 0)
        described.duration = std::chrono::seconds(options.duration);
    if (options.mode == run_mode::Replay) {
        const std::vector reports{experiment::replayWorkload(
            document, described, options.utilisation, options.firstSeed)};
        std::cout << (options.json ? experiment::jsonOf(reports) : experiment::tableOf(reports))
                  << '\n';
        return static_cast<int>(exit_code::Done);
    }
    const auto reports = runAll(options, document, std::get<experiment::workload>(load));
    if (!reports) {
        std::cerr << reports.error().message() << '\n';
        return static_cast<int>(exit_code::BadInput);
    }
    std::cout << (options.json ? experiment::jsonOf(reports.value())
                               : experiment::tableOf(reports.value()))
              << '\n';
    if (!options.plotFile.empty())
        std::ofstream(options.plotFile) << experiment::plotOf(reports.value());
    return static_cast<int>(exit_code::Done);
}

} // namespace

int main(int argc, char **argv)
{
    run_options options;
    CLI::App app("Runs workloads against routing policies on virtual time and reports by class.");
    app.add_option("--inventory", options.inventoryFile, "Inventory and rules (TOML)");
    app.add_option("--workload", options.workloadFile, "Workload (TOML)");
    app.add_option("--scenario", options.scenarios, "Scenario to run; all if absent");
    app.add_option("--policy", options.policies, "quetzalcleat, least-in-flight, round-robin");
    app.add_option("--seed", options.firstSeed, "First seed");
    app.add_option("--seeds", options.seeds, "Number of seeds")->check(CLI::Range(1, 100));
    app.add_option("--jobs", options.jobs, "Runs at the same time")->check(CLI::Range(1, 64));
    app.add_flag("--json", options.json, "Print JSON instead of a table");
    app.add_option("--plot", options.plotFile, "Write an SVG plot to this file");
    app.add_option("--duration-s", options.duration, "Duration instead of the workload's");
    const std::map<std::string, run_mode> modes{{"virtual", run_mode::VirtualTime},
                                                {"closed-loop", run_mode::ClosedLoop},
                                                {"replay", run_mode::Replay}};
    app.add_option("--mode", options.mode,
                   "virtual: decisions on virtual time; closed-loop and replay: against the hosts")
        ->transform(CLI::CheckedTransformer(modes));
    app.add_option("--utilisation", options.utilisation, "Demand of a replay, as part of capacity");
    app.add_option("--requests", options.loop.requests, "Requests of a closed loop");
    app.add_option("--streams", options.loop.streams, "Open requests of a closed loop");
    app.add_option("--output-tokens", options.loop.outputTokens, "Answer length of a closed loop");
    app.add_flag("--direct", options.loop.direct, "Closed loop straight to the engines");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        return app.exit(error) == 0 ? 0 : static_cast<int>(exit_code::BadInput);
    }
    return runExperiments(options);
}
