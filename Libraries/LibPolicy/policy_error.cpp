#include "LibPolicy/policy_error.h"

#include <string>

namespace quetzalcleat::policy {

namespace {

class policy_category final : public std::error_category
{
public:
    const char *name() const noexcept override { return "policy"; }

    std::string message(int value) const override
    {
        switch (static_cast<policy_error>(value)) {
        case policy_error::UnknownAccount:
            return "unknown caller";
        case policy_error::UnknownClass:
            return "unknown class";
        case policy_error::NoEndpoint:
            return "no endpoint serves this request";
        case policy_error::AccountRequestLimit:
            return "request rate of the caller is exceeded";
        case policy_error::AccountTokenLimit:
            return "token rate of the caller is exceeded";
        case policy_error::ClassRequestLimit:
            return "request rate of the class is exceeded";
        case policy_error::ClassTokenLimit:
            return "token rate of the class is exceeded";
        case policy_error::QueueFull:
            return "queue is full";
        case policy_error::EndpointsHeldOff:
            return "endpoints want no request yet";
        case policy_error::DeadlineUnreachable:
            return "deadline cannot be met";
        }
        return "unknown error";
    }
};

} // namespace

const std::error_category &policyCategory()
{
    static const policy_category category;
    return category;
}

std::error_code make_error_code(policy_error error)
{
    return {static_cast<int>(error), policyCategory()};
}

} // namespace quetzalcleat::policy
