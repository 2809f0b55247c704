#include "fault_cell.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <string>
#include <utility>

namespace quetzalcleat::fault_matrix {

namespace {

constexpr std::uint64_t firstSeed = 20261204;

std::uint64_t seedsPerCell(std::uint64_t defaultCount)
{
    const char *text = std::getenv("FAULT_MATRIX_SEEDS");
    return text == nullptr ? defaultCount : std::strtoull(text, nullptr, 10);
}

/// Writes one line per cell for Meta/fault-matrix.
class cell_report
{
public:
    cell_report()
    {
        if (const char *name = std::getenv("FAULT_MATRIX_REPORT"))
            m_file.open(name, std::ios::app);
    }

    void add(const fault_cell &cell, const std::string &verdict)
    {
        m_file << (isBooking(cell.at) ? "a" : "c") << '\t' << nameOf(cell.at);
        for (const auto each : cell.faults)
            m_file << '\t' << nameOf(each);
        m_file << '\t' << verdict << '\n';
    }

private:
    std::ofstream m_file;
};

/// Runs a cell with several seeds and reports the verdict.
void runCellForSeeds(fault_cell cell, std::uint64_t seeds, cell_report &report)
{
    for (const auto each : cell.faults) {
        if (const auto reason = reasonNotApplicable(each, cell.at); !reason.empty()) {
            report.add(cell, "not applicable: " + std::string(reason));
            return;
        }
    }
    std::string verdict = "held";
    for (std::uint64_t i = 0; i < seeds; ++i) {
        cell.seed = firstSeed + i;
        // The order of a pair differs between seeds and between steps.
        auto ordered = cell;
        if (ordered.faults.size() == 2 && (static_cast<std::uint64_t>(cell.at) + i) % 2 == 1)
            std::swap(ordered.faults[0], ordered.faults[1]);
        const auto result = runCell(ordered);
        std::string names;
        for (const auto each : ordered.faults)
            names += std::string(nameOf(each)) + ", ";
        const auto where = names + "step " + std::to_string(static_cast<int>(cell.at)) + " ("
            + std::string(nameOf(cell.at)) + "), seed " + std::to_string(cell.seed);
        EXPECT_TRUE(result.injected) << "the step was not reached: " << where;
        EXPECT_EQ(result.violation, "") << where;
        if (!result.violation.empty())
            verdict = "broken: " + result.violation + " (seed " + std::to_string(cell.seed) + ")";
        else if (!result.injected && verdict == "held")
            verdict = "not reached";
    }
    report.add(cell, verdict);
}

void runSingleFaults(int firstStep, int endStep)
{
    cell_report report;
    for (int at = firstStep; at < endStep; ++at) {
        for (int each = 0; each < faultCount; ++each)
            runCellForSeeds({static_cast<step>(at), {static_cast<fault>(each)}}, seedsPerCell(3),
                            report);
    }
}

void runFaultPairs(int firstStep, int endStep)
{
    cell_report report;
    for (int at = firstStep; at < endStep; ++at) {
        for (int first = 0; first < faultCount; ++first) {
            for (int second = first + 1; second < faultCount; ++second)
                runCellForSeeds({static_cast<step>(at),
                                 {static_cast<fault>(first), static_cast<fault>(second)}},
                                seedsPerCell(1), report);
        }
    }
}

constexpr int firstEditStep = static_cast<int>(step::EditReceived);

} // namespace

// Guards against a call that runs twice, or an answer that contradicts what ran, after one fault.
TEST(fault_matrix, bookingWithOneFault)
{
    runSingleFaults(0, firstEditStep);
}

// Guards against an accepted edit that is lost, reverted or accepted twice after one fault.
TEST(fault_matrix, editWithOneFault)
{
    runSingleFaults(firstEditStep, stepCount);
}

// Guards against pairs of faults that break a booking although each alone does not.
TEST(fault_matrix, bookingWithTwoFaults)
{
    runFaultPairs(0, firstEditStep);
}

// Guards against pairs of faults that break an edit although each alone does not.
TEST(fault_matrix, editWithTwoFaults)
{
    runFaultPairs(firstEditStep, stepCount);
}

} // namespace quetzalcleat::fault_matrix
