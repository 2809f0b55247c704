#include "LibExperiment/experiment_error.h"

#include <string>

namespace quetzalcleat::experiment {

namespace {

class experiment_category final : public std::error_category
{
public:
    const char *name() const noexcept override { return "experiment"; }

    std::string message(int value) const override
    {
        switch (static_cast<experiment_error>(value)) {
        case experiment_error::UnknownClass:
            return "the inventory has no such class";
        case experiment_error::UnknownAccount:
            return "the inventory has no such caller";
        case experiment_error::ModelOrService:
            return "exactly one of model and service must be given";
        case experiment_error::UnknownScenario:
            return "no such scenario";
        case experiment_error::UnknownPolicy:
            return "no such policy";
        }
        return "unknown error";
    }
};

} // namespace

const std::error_category &experimentCategory()
{
    static const experiment_category category;
    return category;
}

std::error_code make_error_code(experiment_error error)
{
    return {static_cast<int>(error), experimentCategory()};
}

} // namespace quetzalcleat::experiment
