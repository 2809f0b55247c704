#include "LibHttp/message.h"

#include "LibCore/text.h"

#include <algorithm>

namespace quetzalcleat::http {

using core::equalsIgnoringCase;

std::optional<std::string_view> findHeader(const header_list &headers, std::string_view name)
{
    for (const auto &field : headers) {
        if (equalsIgnoringCase(field.name, name))
            return field.value;
    }
    return std::nullopt;
}

std::size_t countHeader(const header_list &headers, std::string_view name)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        headers, [name](const header &field) { return equalsIgnoringCase(field.name, name); }));
}

} // namespace quetzalcleat::http
