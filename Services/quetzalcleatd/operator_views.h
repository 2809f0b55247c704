#pragma once

#include "LibCore/located_error.h"
#include "LibCore/time.h"
#include "LibPeer/fleet_status.h"
#include "LibPolicy/policy_views.h"

#include <string>
#include <vector>

namespace quetzalcleat::daemon {

// JSON bodies of the operator API.

std::string toJson(const policy::dump_view &view);
std::string toJson(const policy::explanation &explanation, core::instant now);
std::string toJson(const peer::fleet_status &status, bool leaving);
std::string toJson(const std::vector<core::located_error> &errors);

} // namespace quetzalcleat::daemon
