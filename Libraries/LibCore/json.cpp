#include "LibCore/json.h"

#include <algorithm>

namespace quetzalcleat::core {

std::size_t jsonDepth(std::string_view text)
{
    std::size_t depth = 0;
    std::size_t deepest = 0;
    bool inString = false;
    bool isEscaped = false;
    for (const char next : text) {
        if (inString) {
            inString = next != '"' || isEscaped;
            isEscaped = next == '\\' && !isEscaped;
        } else if (next == '"') {
            inString = true;
        } else if (next == '{' || next == '[') {
            deepest = std::max(deepest, ++depth);
        } else if ((next == '}' || next == ']') && depth > 0) {
            --depth;
        }
    }
    return deepest;
}

nlohmann::json parseJson(std::string_view text)
{
    if (jsonDepth(text) > maximumJsonDepth)
        return nlohmann::json::value_t::discarded;
    return nlohmann::json::parse(text, nullptr, false);
}

} // namespace quetzalcleat::core
