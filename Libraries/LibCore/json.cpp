#include "LibCore/json.h"

#include <algorithm>

namespace quetzalcleat::core {

namespace {

/// Found by a scan, before memory is taken for the values.
struct json_shape
{
    std::size_t deepest = 0;
    std::size_t values = 1;
};

json_shape shapeOf(std::string_view text)
{
    json_shape shape;
    std::size_t depth = 0;
    bool inString = false;
    bool isEscaped = false;
    for (const char next : text) {
        if (inString) {
            inString = next != '"' || isEscaped;
            isEscaped = next == '\\' && !isEscaped;
        } else if (next == '"') {
            inString = true;
        } else if (next == '{' || next == '[') {
            shape.deepest = std::max(shape.deepest, ++depth);
            ++shape.values;
        } else if (next == ',') {
            ++shape.values;
        } else if ((next == '}' || next == ']') && depth > 0) {
            --depth;
        }
    }
    return shape;
}

} // namespace

std::size_t jsonDepth(std::string_view text)
{
    return shapeOf(text).deepest;
}

std::size_t jsonValues(std::string_view text)
{
    return shapeOf(text).values;
}

nlohmann::json parseJson(std::string_view text)
{
    const auto shape = shapeOf(text);
    if (shape.deepest > maximumJsonDepth || shape.values > maximumJsonValues)
        return nlohmann::json::value_t::discarded;
    return nlohmann::json::parse(text, nullptr, false);
}

} // namespace quetzalcleat::core
