#pragma once

#include <functional>

// After a standard header: Asio chooses its allocator by a macro that these define, and all files
// of a program must choose the same one.
#include <asio/io_context.hpp>

namespace quetzalcleat::tests {

/// Runs the loop until the condition holds. Returns false only if the test is stuck: the limit is
/// far above anything a slow machine needs.
bool runUntil(asio::io_context &context, const std::function<bool()> &condition);

} // namespace quetzalcleat::tests
