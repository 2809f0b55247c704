#include "quetzalcleatd/daemon_error.h"

#include <string>

namespace quetzalcleat::daemon {

namespace {

class daemon_category final : public std::error_category
{
public:
    const char *name() const noexcept override { return "daemon"; }

    std::string message(int value) const override
    {
        switch (static_cast<daemon_error>(value)) {
        case daemon_error::MalformedEvent:
            return "stream event is malformed";
        case daemon_error::WrongRequest:
            return "stream event belongs to another request";
        case daemon_error::WrongGeneration:
            return "stream event belongs to another generation";
        case daemon_error::WrongIndex:
            return "stream event is missing or repeated";
        case daemon_error::UnfinishedStream:
            return "stream ended before its last event";
        case daemon_error::EndpointRefused:
            return "endpoint answered with an error status";
        }
        return "unknown error";
    }
};

} // namespace

const std::error_category &daemonCategory()
{
    static const daemon_category category;
    return category;
}

std::error_code make_error_code(daemon_error error)
{
    return {static_cast<int>(error), daemonCategory()};
}

} // namespace quetzalcleat::daemon
