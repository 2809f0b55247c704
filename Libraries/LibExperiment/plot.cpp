#include "LibExperiment/plot.h"

#include <algorithm>
#include <array>
#include <functional>
#include <string_view>

#include <fmt/format.h>

namespace quetzalcleat::experiment {

namespace {

constexpr int barHeight = 9;
constexpr int groupGap = 8;
constexpr int labelWidth = 190;
constexpr int barWidth = 420;
constexpr int valueWidth = 90;
constexpr int titleHeight = 34;
constexpr std::array<std::string_view, 5> colours
    = {"#1f6f8b", "#d98c3f", "#8f8f8f", "#5a9367", "#a05195"};

struct metric
{
    std::string_view title;
    std::function<double(const run_report &)> value;
};

std::vector<std::string> distinctNames(const std::vector<run_report> &runs,
                                       std::string run_report::*member)
{
    std::vector<std::string> names;
    for (const auto &run : runs) {
        if (std::ranges::find(names, run.*member) == names.end())
            names.push_back(run.*member);
    }
    return names;
}

double median(const std::vector<run_report> &runs, const std::string &scenario,
              const std::string &policy, const metric &shown)
{
    std::vector<double> values;
    for (const auto &run : runs) {
        if (run.scenario == scenario && run.policy == policy)
            values.push_back(shown.value(run));
    }
    return quantile(values, 0.5);
}

} // namespace

std::string formatSvgPlot(const std::vector<run_report> &runs)
{
    const std::array<metric, 4> metrics{
        metric{"Goodput (answers within target per second)",
               [](const auto &run) { return run.goodput(); }},
        metric{"Lowest attainment of a protected class (%)",
               [](const auto &run) { return 100 * run.protectedAttainment(); }},
        metric{"Wasted work (%)", [](const auto &run) { return 100 * run.wastedFraction(); }},
        metric{"Cross-region volume (MB)",
               [](const auto &run) { return 1e-6 * double(run.crossRegionBytes); }}};
    const auto scenarioNames = distinctNames(runs, &run_report::scenario);
    const auto policyNames = distinctNames(runs, &run_report::policy);

    std::string body;
    int top = titleHeight;
    for (std::size_t index = 0; index < policyNames.size(); ++index)
        body += fmt::format("<rect x='{}' y='6' width='10' height='10' fill='{}'/>"
                            "<text x='{}' y='15'>{}</text>\n",
                            10 + 150 * index, colours[index % colours.size()], 25 + 150 * index,
                            policyNames[index]);
    for (const auto &shown : metrics) {
        double maximum = 1e-9;
        for (const auto &scenario : scenarioNames) {
            for (const auto &policy : policyNames)
                maximum = std::max(maximum, median(runs, scenario, policy, shown));
        }
        body += fmt::format("<text x='10' y='{}' font-weight='bold'>{}</text>\n", top + 14,
                            shown.title);
        top += titleHeight - groupGap;
        for (const auto &scenario : scenarioNames) {
            body += fmt::format("<text x='10' y='{}'>{}</text>\n", top + barHeight, scenario);
            for (std::size_t index = 0; index < policyNames.size(); ++index) {
                const auto value = median(runs, scenario, policyNames[index], shown);
                const auto width = barWidth * value / maximum;
                body += fmt::format("<rect x='{}' y='{}' width='{:.1f}' height='{}' fill='{}'/>"
                                    "<text x='{:.1f}' y='{}' font-size='8'>{:.2f}</text>\n",
                                    labelWidth, top, width, barHeight - 1,
                                    colours[index % colours.size()], labelWidth + width + 4,
                                    top + barHeight - 2, value);
                top += barHeight;
            }
            top += groupGap;
        }
    }
    return fmt::format("<svg xmlns='http://www.w3.org/2000/svg' width='{}' height='{}' "
                       "font-family='sans-serif' font-size='11'>\n"
                       "<rect width='100%' height='100%' fill='white'/>\n{}</svg>\n",
                       labelWidth + barWidth + valueWidth, top + groupGap, body);
}

} // namespace quetzalcleat::experiment
