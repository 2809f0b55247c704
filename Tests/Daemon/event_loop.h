#pragma once

#include <functional>

// Included after a standard header, because Asio selects its allocator by a macro that standard
// headers define, and all files of a program must select the same one.
#include <asio/io_context.hpp>

namespace quetzalcleat::tests {

/// Runs the loop until the condition holds. Returns false after one minute, far longer than even a
/// slow machine needs.
bool runUntil(asio::io_context &context, const std::function<bool()> &condition);

} // namespace quetzalcleat::tests
