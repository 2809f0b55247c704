#include "LibFleet/duty_error.h"

#include <string>

namespace quetzalcleat::fleet {

namespace {

const char *text(duty_error error)
{
    switch (error) {
    case duty_error::NotHolder:
        return "this host does not hold the duty";
    case duty_error::TooManyCalls:
        return "too many calls wait";
    case duty_error::TimedOut:
        return "the call timed out";
    }
    return "unknown error";
}

class duty_category final : public std::error_category
{
public:
    const char *name() const noexcept override { return "duty"; }
    std::string message(int value) const override { return text(static_cast<duty_error>(value)); }
};

} // namespace

const std::error_category &dutyCategory()
{
    static const duty_category category;
    return category;
}

std::error_code make_error_code(duty_error error)
{
    return {static_cast<int>(error), dutyCategory()};
}

} // namespace quetzalcleat::fleet
