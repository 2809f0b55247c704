#include "LibCore/core_error.h"

#include <string>

namespace quetzalcleat::core {

namespace {

class core_category final : public std::error_category
{
public:
    const char *name() const noexcept override { return "core"; }

    std::string message(int value) const override
    {
        switch (static_cast<core_error>(value)) {
        case core_error::FileUnreadable:
            return "file cannot be read";
        case core_error::FileTooLarge:
            return "file is larger than allowed";
        case core_error::InvalidSyntax:
            return "invalid TOML syntax";
        case core_error::UnknownKey:
            return "unknown key";
        case core_error::MissingKey:
            return "required key is missing";
        case core_error::WrongType:
            return "value has the wrong type";
        case core_error::OutOfRange:
            return "value is out of range";
        case core_error::InvalidAddress:
            return "not an IP address with a port";
        case core_error::InvalidRole:
            return "unknown role";
        case core_error::DuplicateName:
            return "name is used twice";
        case core_error::WeakKey:
            return "key is shorter than 16 bytes";
        case core_error::DuplicateAddress:
            return "address is used twice";
        case core_error::InvalidName:
            return "not a name of 1 to 64 letters, digits, '.', '_' or '-'";
        case core_error::UnexpectedException:
            return "unexpected exception";
        }
        return "unknown error";
    }
};

} // namespace

const std::error_category &coreCategory()
{
    static const core_category category;
    return category;
}

std::error_code make_error_code(core_error error)
{
    return {static_cast<int>(error), coreCategory()};
}

} // namespace quetzalcleat::core
