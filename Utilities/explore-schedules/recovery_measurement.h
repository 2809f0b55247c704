#pragma once

#include <cstddef>
#include <filesystem>

namespace quetzalcleat::explore {

/// Writes logs of 1,000, 10,000 and 100,000 changes below the folder, with and without snapshots,
/// and prints how long it takes to open each one and to rebuild the state from it.
/// Returns false if a store could not be written or read.
bool measureRecovery(const std::filesystem::path &folder);

} // namespace quetzalcleat::explore
