#pragma once

#include <cstddef>

namespace quetzalcleat::measurement {

/// Bytes currently allocated on the heap.
std::size_t allocatedBytes();

/// Prints messages and bytes of gossip per host and second for data centres of several sizes.
void measureGossip();

/// Prints bytes, memory and time per claim and per edit in the replicated state.
void measureState();

/// Prints size, parse time and memory of inventories up to the fleet size expected in two years.
void measureDocuments();

} // namespace quetzalcleat::measurement
