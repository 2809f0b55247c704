#pragma once

#include <system_error>

namespace quetzalcleat::policy {

/// Why a request was refused by decision_core::submit().
enum class policy_error {
    UnknownAccount = 1,
    UnknownClass,
    NoEndpoint, ///< No endpoint of the document serves the model, adapter or service.
    AccountRequestLimit,
    AccountTokenLimit,
    ClassRequestLimit,
    ClassTokenLimit,
    QueueFull,
    EndpointsHeldOff, ///< All want no request until after the target of this one.
    DeadlineUnreachable, ///< The expected wait and service time exceed the deadline.
};

const std::error_category &policyCategory();
std::error_code make_error_code(policy_error error);

} // namespace quetzalcleat::policy

template <>
struct std::is_error_code_enum<quetzalcleat::policy::policy_error> : std::true_type
{
};
