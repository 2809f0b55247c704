#pragma once

#include "LibCore/settings.h"
#include "LibInventory/parser.h"
#include "quetzalcleatd/endpoint_observer.h"
#include "quetzalcleatd/session_environment.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace quetzalcleat::daemon {

struct entry_options
{
    std::string hostName;
    std::string dataCentre;
    core::socket_address callerAddress;
    core::socket_address operatorAddress;
    std::string operatorKey;
    std::uint64_t hostIncarnation = 0;
    std::uint64_t seed = 0; ///< For the decision core.
    std::chrono::milliseconds balancerNoticeTime{2000};
    std::chrono::milliseconds stopGraceTime{120000};
    /// How long idle connections may stay open once a stopping process has no work left.
    std::chrono::milliseconds idleCloseTime{1000};
    std::chrono::milliseconds callerProgressTimeout{10000};
    std::size_t maximumConnections = 8192;
    std::chrono::milliseconds editTimeout{5000};
    std::chrono::milliseconds inForceTimeout{10000};
    session_options sessions;
    observer_options observer;
};

/// Options of a process with these settings.
entry_options entryOptionsFrom(const core::settings &settings, std::uint64_t hostIncarnation);

} // namespace quetzalcleat::daemon
