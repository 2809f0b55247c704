#include "quetzalcleatd/document_size.h"

namespace quetzalcleat::daemon {

bool hasTooManyValues(std::string_view text, document_format format, std::size_t maximum)
{
    constexpr std::string_view separators = ",:=[{";
    std::size_t count = 0;
    bool inString = false;
    for (std::size_t position = 0; position < text.size(); ++position) {
        const char character = text[position];
        if (inString && character == '\\')
            ++position;
        else if (character == '"' && format == document_format::Json)
            inString = !inString;
        else if (!inString && separators.find(character) != std::string_view::npos
                 && ++count > maximum)
            return true;
    }
    return false;
}

} // namespace quetzalcleat::daemon
