#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace quetzalcleat::fault_matrix {

enum class fault {
    HostCrash,
    HostPause,
    EngineStraggles,
    EngineCrashes,
    LoadReportLate,
    CacheEventsLost,
    SilentConnection,
    OneWayCut,
    DataCentreCutOff,
    RegionsCut,
    IsolatedLeader,
    RacingEdits,
    ResendAfterLostAnswer,
    SecondVoterLost,
    DiskFull,
    SyncFails,
    TornWrite,
    EmptyDisk,
    ClockJump,
    RollingRestart,
    PlannedStop,
};

constexpr int faultCount = 21;

enum class step {
    BookingReceived,
    BookingAdmitted,
    ClaimProposed,
    ClaimCommitted,
    FirstByteSent,
    ServiceRan,
    ServiceAnswered,
    ResultCommitted,
    AnswerRelayed,
    EditReceived,
    EditAppended,
    EditSynced,
    EditReplicated,
    EditCommitted,
    EditAnswered,
    EditPushed,
    EditInForce,
};

constexpr int stepCount = 17;

std::string_view nameOf(fault value);
std::string_view nameOf(step value);
inline bool isBooking(step value)
{
    return value < step::EditReceived;
}
/// Empty if the fault applies to the step; otherwise the reason why it does not.
std::string_view reasonNotApplicable(fault value, step at);

/// One run: the faults are injected when the step is reached, the second one up to 300 ms later.
struct fault_cell
{
    step at = step::BookingReceived;
    std::vector<fault> faults;
    std::uint64_t seed = 0;
};

struct cell_result
{
    bool injected = false;
    std::string violation; ///< Empty if every guarantee held.
};

cell_result runCell(const fault_cell &cell);

} // namespace quetzalcleat::fault_matrix
