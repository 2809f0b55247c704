#include "LibInventory/inventory_error.h"

#include <string>

namespace quetzalcleat::inventory {

namespace {

class inventory_category final : public std::error_category
{
public:
    const char *name() const noexcept override { return "inventory"; }

    std::string message(int value) const override
    {
        switch (static_cast<inventory_error>(value)) {
        case inventory_error::DanglingReference:
            return "refers to something that the inventory does not contain";
        case inventory_error::ZeroCapacity:
            return "capacity must be at least 1";
        case inventory_error::InvalidLimit:
            return "limit must be greater than 0";
        case inventory_error::BurstBelowOne:
            return "burst must be at least 1";
        case inventory_error::BurstWithoutRate:
            return "burst without the rate that it belongs to";
        case inventory_error::DeadlineBelowTarget:
            return "deadline is shorter than the target for the first token";
        case inventory_error::WaitAboveDeadline:
            return "maximum wait is longer than the deadline";
        case inventory_error::ShareOutOfRange:
            return "minimum share must be from 0 to 1";
        case inventory_error::SharesExceedCapacity:
            return "minimum shares of all classes add up to more than 1";
        case inventory_error::InvalidTokenHash:
            return "not a SHA-256 hash of 64 lower-case hexadecimal digits";
        case inventory_error::DuplicateTokenHash:
            return "token hash is used twice";
        case inventory_error::DuplicateRank:
            return "rank is used by two tiers";
        case inventory_error::DuplicateMatch:
            return "two classes match the same requests";
        case inventory_error::DuplicatePlacement:
            return "model is placed twice on the same endpoint";
        case inventory_error::DuplicateDrain:
            return "target is drained twice";
        case inventory_error::InvalidKind:
            return "kind must be \"engine\" or \"service\"";
        case inventory_error::InvalidRole:
            return "role must be \"mixed\", \"prefill\" or \"decode\"";
        case inventory_error::InvalidPath:
            return "path must start with '/'";
        case inventory_error::InvalidMethod:
            return "method must be upper-case letters or \"*\"";
        case inventory_error::InvalidModelName:
            return "model or adapter name must be 1 to 128 printable characters without spaces";
        case inventory_error::KeyNotApplicable:
            return "key does not apply here";
        case inventory_error::InconsistentService:
            return "endpoints of one service have different non-repeatable calls";
        case inventory_error::TooManyControlHosts:
            return "more than 7 control hosts";
        case inventory_error::InvalidDocument:
            return "document is not valid";
        case inventory_error::DrainsNotExtensible:
            return "drains are written as an inline array; use [[drain]] tables";
        }
        return "unknown error";
    }
};

} // namespace

const std::error_category &inventoryCategory()
{
    static const inventory_category category;
    return category;
}

std::error_code make_error_code(inventory_error error)
{
    return {static_cast<int>(error), inventoryCategory()};
}

} // namespace quetzalcleat::inventory
