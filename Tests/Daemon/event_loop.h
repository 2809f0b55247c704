#pragma once

#include <asio/io_context.hpp>

#include <functional>

namespace quetzalcleat::tests {

/// Runs the loop until the condition holds. Returns false only if the test is stuck: the limit is
/// far above anything a slow machine needs.
bool runUntil(asio::io_context &context, const std::function<bool()> &condition);

} // namespace quetzalcleat::tests
