#pragma once

#include "LibExperiment/report.h"

#include <string>
#include <vector>

namespace quetzalcleat::experiment {

/// An SVG bar chart with one group of bars per scenario and one bar per policy, for goodput,
/// attainment of protected classes, wasted work and cross-region bytes (medians over the seeds).
std::string formatSvgPlot(const std::vector<run_report> &runs);

} // namespace quetzalcleat::experiment
