#include "fault_cell.h"

#include "matrix_cluster.h"

#include <array>

namespace quetzalcleat::fault_matrix {

std::string_view nameOf(fault value)
{
    static constexpr std::array<std::string_view, faultCount> names{
        "host crash",
        "host pause and resume",
        "engine straggles",
        "engine crashes",
        "load report late",
        "cache events lost",
        "silent connection",
        "one-way cut",
        "data centre cut off",
        "regions cut",
        "isolated leader",
        "racing edits",
        "resend after a lost answer",
        "second voter lost",
        "disk full",
        "sync fails",
        "torn write",
        "empty disk",
        "clock jump",
        "rolling restart",
        "planned stop",
    };
    return names.at(static_cast<std::size_t>(value));
}

std::string_view nameOf(step value)
{
    static constexpr std::array<std::string_view, stepCount> names{
        "received", "admitted", "claim proposed",   "committed",      "first byte sent",
        "ran",      "answered", "result committed", "answer relayed", "received",
        "appended", "synced",   "replicated",       "committed",      "answered",
        "pushed",   "in force",
    };
    return names.at(static_cast<std::size_t>(value));
}

std::string_view reasonNotApplicable(fault value, step at)
{
    if (value == fault::LoadReportLate || value == fault::CacheEventsLost)
        return "the step reads no report of an engine";
    if (isBooking(at))
        return {};
    if (value == fault::EngineStraggles || value == fault::EngineCrashes)
        return "an edit involves no endpoint";
    return {};
}

cell_result runCell(const fault_cell &cell)
{
    matrix_cluster cluster(cell);
    cell_result result;
    try {
        cluster.run();
    } catch (const explore::invariant_violation &violation) {
        result.violation = violation.what();
    }
    result.injected = cluster.injected();
    return result;
}

} // namespace quetzalcleat::fault_matrix
