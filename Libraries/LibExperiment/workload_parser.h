#pragma once

#include "LibCore/located_error.h"
#include "LibExperiment/workload.h"
#include "LibInventory/document.h"

#include <filesystem>
#include <string_view>
#include <variant>
#include <vector>

namespace quetzalcleat::experiment {

/// Parses a workload and checks its names against an inventory. Errors are experiment_error.
std::variant<workload, std::vector<core::located_error>>
parseWorkload(std::string_view text, std::string_view fileName,
              const inventory::document &document);

} // namespace quetzalcleat::experiment
