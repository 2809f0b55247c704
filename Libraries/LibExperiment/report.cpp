#include "LibExperiment/report.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace quetzalcleat::experiment {

namespace {

using run_group = std::vector<const run_report *>;

std::vector<run_group> groupByScenarioAndPolicy(const std::vector<run_report> &runs)
{
    std::vector<run_group> groups;
    for (const auto &run : runs) {
        const auto same = [&](const run_group &group) {
            return group.front()->scenario == run.scenario && group.front()->policy == run.policy;
        };
        const auto group = std::ranges::find_if(groups, same);
        if (group == groups.end())
            groups.push_back({&run});
        else
            group->push_back(&run);
    }
    return groups;
}

/// Formats the median, minimum and maximum of a figure over several seeds.
template <typename Figure>
std::string formatSpread(const run_group &group, double scale, int digits, Figure figure)
{
    std::vector<double> values;
    for (const auto *run : group)
        values.push_back(scale * figure(*run));
    const auto [lowest, highest] = std::ranges::minmax(values);
    const auto median = quantile(values, 0.5);
    return fmt::format("{:.{}f} [{:.{}f}, {:.{}f}]", median, digits, lowest, digits, highest,
                       digits);
}

/// A figure that only the hosts and engines know.
template <typename Figure>
std::string formatInnerSpread(const run_group &group, double scale, int digits, Figure figure)
{
    if (group.front()->seenByCallersOnly)
        return "unknown";
    return formatSpread(group, scale, digits, std::move(figure));
}

nlohmann::json innerFigure(const run_report &run, const nlohmann::json &figure)
{
    return run.seenByCallersOnly ? nlohmann::json() : figure;
}

void appendClassLines(std::string &text, const run_group &group)
{
    for (std::size_t index = 0; index < group.front()->classes.size(); ++index) {
        const auto &name = group.front()->classes[index].name;
        const auto of
            = [index](const run_report &run) -> const class_report & { return run.classes[index]; };
        text += fmt::format(
            "    {:<18} tier {} attained {:<22} ttft95_ms {:<24} wait_max_s {:<22} shed {:<18} "
            "expired {}\n",
            name, group.front()->classes[index].tierRank,
            formatSpread(group, 100, 1, [&](const auto &run) { return of(run).attainment(); }),
            formatSpread(
                group, 1, 0,
                [&](const auto &run) { return quantile(of(run).firstTokenMilliseconds, 0.95); }),
            formatSpread(group, 0.001, 1,
                         [&](const auto &run) { return double(of(run).longestWait.count()); }),
            formatSpread(group, 1, 0,
                         [&](const auto &run) { return double(of(run).shed + of(run).refused); }),
            formatSpread(group, 1, 0, [&](const auto &run) { return double(of(run).expired); }));
    }
}

nlohmann::json toJson(const class_report &entry)
{
    return {{"name", entry.name},
            {"tier", entry.tierRank},
            {"offered", entry.offered},
            {"whole", entry.completed},
            {"attained", entry.attained},
            {"refused", entry.refused},
            {"shed", entry.shed},
            {"expired", entry.expired},
            {"broken", entry.broken},
            {"abandoned", entry.abandoned},
            {"attainment", entry.attainment()},
            {"longest_wait_ms", entry.longestWait.count()},
            {"first_token_p50_ms", quantile(entry.firstTokenMilliseconds, 0.5)},
            {"first_token_p95_ms", quantile(entry.firstTokenMilliseconds, 0.95)},
            {"between_tokens_p95_ms", quantile(entry.betweenTokensMilliseconds, 0.95)}};
}

} // namespace

double run_report::goodput() const
{
    std::uint64_t attained = 0;
    for (const auto &entry : classes)
        attained += entry.attained;
    return double(attained) / duration.count();
}

double run_report::attainedTokensPerSecond() const
{
    std::uint64_t tokens = 0;
    for (const auto &entry : classes)
        tokens += entry.attainedTokens;
    return double(tokens) / duration.count();
}

double run_report::wastedFraction() const
{
    const auto work = generatedTokens + prefilledTokens;
    if (work == 0)
        return 0;
    return double(generatedTokens - deliveredTokens + repeatedPrefillTokens) / double(work);
}

double run_report::protectedAttainment() const
{
    std::uint32_t highest = ~0U;
    std::uint32_t highestWithEngines = ~0U;
    for (const auto &entry : classes) {
        highest = std::min(highest, entry.tierRank);
        if (entry.usesEngines)
            highestWithEngines = std::min(highestWithEngines, entry.tierRank);
    }
    double lowest = 1;
    for (const auto &entry : classes) {
        if (entry.tierRank == highest
            || (entry.usesEngines && entry.tierRank == highestWithEngines))
            lowest = std::min(lowest, entry.attainment());
    }
    return lowest;
}

std::chrono::milliseconds run_report::longestWait() const
{
    return std::ranges::max_element(classes, {}, &class_report::longestWait)->longestWait;
}

double quantile(std::vector<double> values, double probability)
{
    if (values.empty())
        return 0;
    const auto index
        = std::min(values.size() - 1,
                   static_cast<std::size_t>(probability * static_cast<double>(values.size())));
    std::ranges::nth_element(values, values.begin() + static_cast<std::ptrdiff_t>(index));
    return values[index];
}

std::string formatTable(const std::vector<run_report> &runs)
{
    std::string text = "median [lowest, highest] over the seeds\n";
    for (const auto &group : groupByScenarioAndPolicy(runs)) {
        text += fmt::format(
            "{:<24} {:<16} goodput/s {:<22} protected_% {:<20} wasted_% {:<18} "
            "cross_region_MB {:<20} retries {:<14} preempted {:<14} tier_violations {} splices "
            "{}\n",
            group.front()->scenario, group.front()->policy,
            formatSpread(group, 1, 2, [](const auto &run) { return run.goodput(); }),
            formatSpread(group, 100, 1, [](const auto &run) { return run.protectedAttainment(); }),
            formatInnerSpread(group, 100, 2, [](const auto &run) { return run.wastedFraction(); }),
            formatInnerSpread(group, 1e-6, 2,
                              [](const auto &run) { return double(run.crossRegionBytes); }),
            formatInnerSpread(group, 1, 0, [](const auto &run) { return double(run.retries); }),
            formatInnerSpread(group, 1, 0, [](const auto &run) { return double(run.preemptions); }),
            formatInnerSpread(group, 1, 0,
                              [](const auto &run) { return double(run.tierViolations); }),
            formatInnerSpread(group, 1, 0,
                              [](const auto &run) { return double(run.crossEngineResumptions); }));
        appendClassLines(text, group);
    }
    return text;
}

std::string formatJson(const std::vector<run_report> &runs)
{
    nlohmann::json all = nlohmann::json::array();
    for (const auto &run : runs) {
        nlohmann::json entry = {{"scenario", run.scenario},
                                {"policy", run.policy},
                                {"seed", run.seed},
                                {"goodput_per_s", run.goodput()},
                                {"attained_tokens_per_s", run.attainedTokensPerSecond()},
                                {"protected_attainment", run.protectedAttainment()},
                                {"wasted_part", innerFigure(run, run.wastedFraction())},
                                {"cross_region_bytes", innerFigure(run, run.crossRegionBytes)},
                                {"retries", innerFigure(run, run.retries)},
                                {"preemptions", innerFigure(run, run.preemptions)},
                                {"tier_violations", innerFigure(run, run.tierViolations)},
                                {"splices", innerFigure(run, run.crossEngineResumptions)}};
        for (const auto &classEntry : run.classes)
            entry["classes"].push_back(toJson(classEntry));
        all.push_back(std::move(entry));
    }
    return all.dump(2);
}

} // namespace quetzalcleat::experiment
