#pragma once

#include <system_error>

namespace quetzalcleat::core {

/// Errors of LibCore, most of them about settings files.
enum class core_error {
    FileUnreadable = 1,
    FileTooLarge,
    InvalidSyntax,
    UnknownKey,
    MissingKey,
    WrongType,
    OutOfRange,
    InvalidAddress,
    InvalidRole,
    DuplicateName,
    WeakKey,
    DuplicateAddress,
    InvalidName,
    UnexpectedException, ///< An exception that no caller expects.
};

const std::error_category &coreCategory();
std::error_code make_error_code(core_error error);

} // namespace quetzalcleat::core

template <>
struct std::is_error_code_enum<quetzalcleat::core::core_error> : std::true_type
{
};
