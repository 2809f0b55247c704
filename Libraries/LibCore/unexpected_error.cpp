#include "LibCore/unexpected_error.h"

#include "LibCore/core_error.h"
#include "LibCore/logger.h"

#include <exception>
#include <string>

namespace quetzalcleat::core {

namespace {

std::error_code report(const char *text)
{
    static const logger log("unexpected-error");
    log.error(std::string("unexpected exception: ") + text);
    return core_error::UnexpectedException;
}

} // namespace

std::error_code runContained(const std::function<void()> &handler)
{
    try {
        handler();
    } catch (const std::exception &exception) {
        return report(exception.what());
    } catch (...) {
        return report("of an unknown type");
    }
    return {};
}

} // namespace quetzalcleat::core
