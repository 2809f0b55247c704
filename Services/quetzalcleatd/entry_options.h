#pragma once

#include "LibCore/settings.h"
#include "LibHttp/input_account.h"
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
    bool servesCallers = true; ///< False on hosts that have only the control role.
    core::socket_address callerAddress;
    core::socket_address operatorAddress;
    std::string operatorKey;
    std::uint64_t hostIncarnation = 0;
    std::uint64_t seed = 0; ///< For the decision core.
    std::chrono::milliseconds balancerNoticeTime{2000};
    std::chrono::milliseconds stopGraceTime{120000};
    /// How long a stopping process without open requests waits for idle connections to close.
    std::chrono::milliseconds idleCloseTime{1000};
    std::chrono::milliseconds callerProgressTimeout{10000};
    std::size_t maximumConnections = 8192;
    std::size_t maximumOperatorConnections = 128;
    http::input_limits inputs; ///< Of callers and operators together.
    std::chrono::milliseconds editTimeout{5000};
    std::chrono::milliseconds inForceTimeout{10000};
    session_options sessions;
    observer_options observer;
};

/// Derives the options from the settings of the process.
entry_options entryOptionsFrom(const core::settings &settings, std::uint64_t hostIncarnation);

} // namespace quetzalcleat::daemon
