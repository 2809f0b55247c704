#include "quetzalcleat/key_source.h"

#include "quetzalcleat/tool_error.h"

#include <algorithm>
#include <fstream>

namespace quetzalcleat::tool {

namespace {

constexpr std::size_t maximumKeyBytes = 4096;

// A line break in the key could add headers to a request.
bool isHeaderText(const std::string &text)
{
    return std::all_of(text.begin(), text.end(),
                       [](char character) { return character >= ' ' && character < '\x7f'; });
}

} // namespace

core::result<std::string> readFile(const std::filesystem::path &path, std::size_t maximumBytes)
{
    std::error_code error;
    if (std::filesystem::is_directory(path, error))
        return tool_error::FileUnreadable;
    std::ifstream stream(path, std::ios::binary);
    if (!stream)
        return tool_error::FileUnreadable;
    std::string content(maximumBytes + 1, '\0');
    stream.read(content.data(), static_cast<std::streamsize>(content.size()));
    if (stream.bad())
        return tool_error::FileUnreadable;
    content.resize(static_cast<std::size_t>(stream.gcount()));
    if (content.size() > maximumBytes)
        return tool_error::FileTooLarge;
    return content;
}

core::result<std::string> readOperatorKey(const std::filesystem::path &file,
                                          const char *environmentValue)
{
    std::string key = environmentValue ? environmentValue : "";
    if (!file.empty()) {
        auto content = readFile(file, maximumKeyBytes);
        if (!content)
            return content.error();
        key = std::move(content).value();
    }
    while (!key.empty() && (key.back() == '\n' || key.back() == '\r'))
        key.pop_back();
    if (key.empty())
        return tool_error::MissingKey;
    if (!isHeaderText(key))
        return tool_error::InvalidKey;
    return key;
}

} // namespace quetzalcleat::tool
