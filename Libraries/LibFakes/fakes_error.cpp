#include "LibFakes/fakes_error.h"

#include <string>

namespace quetzalcleat::fakes {

namespace {

class fakes_category final : public std::error_category
{
public:
    const char *name() const noexcept override { return "fakes"; }

    std::string message(int value) const override
    {
        switch (static_cast<fakes_error>(value)) {
        case fakes_error::UnknownModel:
            return "model is not loaded";
        case fakes_error::QueueFull:
            return "queue is full";
        case fakes_error::StaleFencing:
            return "order has an old fencing number";
        case fakes_error::UnknownGeneration:
            return "no such generation";
        case fakes_error::UnknownBlock:
            return "block is not cached";
        case fakes_error::DuplicateRequest:
            return "request is already running";
        }
        return "unknown error";
    }
};

} // namespace

const std::error_category &fakesCategory()
{
    static const fakes_category category;
    return category;
}

std::error_code make_error_code(fakes_error error)
{
    return {static_cast<int>(error), fakesCategory()};
}

} // namespace quetzalcleat::fakes
