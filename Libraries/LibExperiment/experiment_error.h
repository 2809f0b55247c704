#pragma once

#include <system_error>

namespace quetzalcleat::experiment {

/// Errors in the description of a workload and in the choice of experiments. Errors of syntax,
/// keys and types are core::core_error.
enum class experiment_error {
    UnknownClass = 1, ///< The inventory has no class of this name.
    UnknownAccount, ///< The inventory has no client account of this name.
    ModelOrService, ///< Exactly one of model and service must be given.
    UnknownScenario,
    UnknownPolicy,
};

const std::error_category &experimentCategory();
std::error_code make_error_code(experiment_error error);

} // namespace quetzalcleat::experiment

template <>
struct std::is_error_code_enum<quetzalcleat::experiment::experiment_error> : std::true_type
{
};
