#pragma once

#include <cstddef>

namespace quetzalcleat::measurement {

/// Bytes that the allocator has handed out.
std::size_t allocatedBytes();

/// Prints messages and bytes per host and second of gossip in a data centre of several sizes.
void measureGossip();

/// Prints bytes, memory and time per claim and per edit in the replicated state.
void measureState();

/// Prints size, parse time and memory of inventories up to the size of two years.
void measureDocuments();

} // namespace quetzalcleat::measurement
