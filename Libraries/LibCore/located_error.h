#pragma once

#include <cstdint>
#include <string>
#include <system_error>

namespace quetzalcleat::core {

/// An error in an input, with the place where it was found.
struct located_error
{
    std::error_code code;
    std::string file;
    std::uint32_t line = 0; ///< First line is 1; 0 if the place is unknown.
    std::string detail; ///< Name of the key or entity concerned.
};

} // namespace quetzalcleat::core
