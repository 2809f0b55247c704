#pragma once

#include <cstdint>
#include <string>

namespace quetzalcleat::fleet {

/// A call to the platform of a duty, in the platform's format.
struct duty_request
{
    std::string method = "POST";
    std::string target; ///< Path and query.
    std::string body; ///< JSON.
};

/// Who makes a call.
struct duty_caller
{
    std::string host; ///< Name of the host.
    std::uint64_t generation = 0; ///< Unique and growing, see state::duty_acquire.
};

} // namespace quetzalcleat::fleet
