#pragma once

#include <system_error>

namespace quetzalcleat::inventory {

/// Errors of an inventory document beyond those of its syntax, keys and types, for which parse()
/// uses core::core_error.
enum class inventory_error {
    DanglingReference = 1,
    ZeroCapacity,
    InvalidLimit,
    BurstBelowOne,
    BurstWithoutRate,
    DeadlineBelowTarget,
    WaitAboveDeadline,
    ShareOutOfRange,
    SharesExceedCapacity,
    InvalidTokenHash,
    DuplicateTokenHash,
    DuplicateRank,
    DuplicateMatch,
    DuplicatePlacement,
    DuplicateDrain,
    InvalidKind,
    InvalidRole,
    InvalidPath,
    InvalidMethod,
    InvalidModelName,
    KeyNotApplicable,
    InconsistentService,
    TooManyControlHosts,
    InvalidDocument,
    DrainsNotExtensible,
};

const std::error_category &inventoryCategory();
std::error_code make_error_code(inventory_error error);

} // namespace quetzalcleat::inventory

template <>
struct std::is_error_code_enum<quetzalcleat::inventory::inventory_error> : std::true_type
{
};
