#pragma once

#include "LibPolicy/memory_budget.h"

#include <string>

namespace quetzalcleat::forward {

/// The body of a caller's request, with the memory charged for it. Stored once: the attempts of a
/// request share it.
struct request_body
{
    std::string bytes;
    policy::memory_charge charge;
    bool isDropped = false; ///< It was not stored, as the request was to be refused anyway.
};

} // namespace quetzalcleat::forward
