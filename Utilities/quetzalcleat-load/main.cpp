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
    experiment::closed_loop_options closedLoop;
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
experiment::run_report runPolicy(const inventory::document &document,
                                 const experiment::workload &load, const job &run)
{
    return experiment::virtual_experiment<Policy>(document, load, *run.conditions, run.policyName,
                                                  run.seed)
        .run();
}

core::result<experiment::run_report> runJob(const inventory::document &document,
                                            const experiment::workload &load, const job &run)
{
    if (run.policyName == "quetzalcleat")
        return runPolicy<policy::decision_core>(document, load, run);
    if (run.policyName == "least-in-flight")
        return runPolicy<experiment::least_in_flight_policy>(document, load, run);
    if (run.policyName == "round-robin")
        return runPolicy<experiment::round_robin_policy>(document, load, run);
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

int runClosedLoopMode(const run_options &options, const inventory::document &document)
{
    bool allCorrect = false;
    std::cout << experiment::runClosedLoop(document, options.closedLoop, allCorrect) << '\n';
    return static_cast<int>(allCorrect ? exit_code::Done : exit_code::WrongAnswers);
}

int runExperiments(const run_options &options)
{
    const auto parsed = inventory::parse(readFile(options.inventoryFile), options.inventoryFile);
    if (const auto *errors = std::get_if<std::vector<core::located_error>>(&parsed))
        return reportErrors(*errors);
    const auto &document = std::get<inventory::document>(parsed);
    if (options.mode == run_mode::ClosedLoop)
        return runClosedLoopMode(options, document);
    auto parsedWorkload
        = experiment::parseWorkload(readFile(options.workloadFile), options.workloadFile, document);
    if (const auto *errors = std::get_if<std::vector<core::located_error>>(&parsedWorkload))
        return reportErrors(*errors);
    auto &workload = std::get<experiment::workload>(parsedWorkload);
    if (options.duration > 0)
        workload.duration = std::chrono::seconds(options.duration);
    if (options.mode == run_mode::Replay) {
        const std::vector reports{
            experiment::replayWorkload(document, workload, options.utilisation, options.firstSeed)};
        std::cout << (options.json ? experiment::formatJson(reports)
                                   : experiment::formatTable(reports))
                  << '\n';
        return static_cast<int>(exit_code::Done);
    }
    const auto reports = runAll(options, document, workload);
    if (!reports) {
        std::cerr << reports.error().message() << '\n';
        return static_cast<int>(exit_code::BadInput);
    }
    std::cout << (options.json ? experiment::formatJson(reports.value())
                               : experiment::formatTable(reports.value()))
              << '\n';
    if (!options.plotFile.empty())
        std::ofstream(options.plotFile) << experiment::formatSvgPlot(reports.value());
    return static_cast<int>(exit_code::Done);
}

} // namespace

int main(int argc, char **argv)
{
    run_options options;
    CLI::App app("Runs workloads in virtual time or against a running fleet and reports the "
                 "results by class.");
    app.add_option("--inventory", options.inventoryFile, "Inventory and rules (TOML)");
    app.add_option("--workload", options.workloadFile, "Workload (TOML)");
    app.add_option("--scenario", options.scenarios, "Scenario to run; all if absent");
    app.add_option("--policy", options.policies, "quetzalcleat, least-in-flight, round-robin");
    app.add_option("--seed", options.firstSeed, "First seed");
    app.add_option("--seeds", options.seeds, "Number of seeds")->check(CLI::Range(1, 100));
    app.add_option("--jobs", options.jobs, "Number of concurrent runs")->check(CLI::Range(1, 64));
    app.add_flag("--json", options.json, "Print JSON instead of a table");
    app.add_option("--plot", options.plotFile, "Write an SVG plot to this file");
    app.add_option("--duration-s", options.duration,
                   "Seconds that replace the duration of the workload");
    const std::map<std::string, run_mode> modes{{"virtual", run_mode::VirtualTime},
                                                {"closed-loop", run_mode::ClosedLoop},
                                                {"replay", run_mode::Replay}};
    app.add_option(
           "--mode", options.mode,
           "virtual: simulation in virtual time; closed-loop and replay: against a running fleet")
        ->transform(CLI::CheckedTransformer(modes));
    app.add_option("--utilisation", options.utilisation,
                   "Demand of a replay as a fraction of capacity");
    app.add_option("--requests", options.closedLoop.requests, "Requests of a closed loop");
    app.add_option("--streams", options.closedLoop.streams, "Concurrent requests of a closed loop");
    app.add_option("--output-tokens", options.closedLoop.outputTokens,
                   "Answer length of a closed loop");
    app.add_flag("--direct", options.closedLoop.direct,
                 "Send the requests of a closed loop directly to the engines");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        return app.exit(error) == 0 ? 0 : static_cast<int>(exit_code::BadInput);
    }
    return runExperiments(options);
}
