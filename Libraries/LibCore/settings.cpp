#include "LibCore/settings.h"

#include "LibCore/core_error.h"

#include <fstream>
#include <sstream>

namespace quetzalcleat::core {

namespace {

constexpr std::uintmax_t maximumFileBytes = 1024 * 1024;

} // namespace

std::variant<settings, std::vector<located_error>> parseSettings(std::string_view text,
                                                                 std::string_view fileName)
{
    // FIXME: Parse the TOML text.
    if (text.empty())
        return std::vector<located_error>{
            {make_error_code(core_error::MissingKey), std::string(fileName), 0, "host_name"}};
    return settings{};
}

std::variant<settings, std::vector<located_error>> loadSettings(const std::filesystem::path &path)
{
    std::error_code error;
    const auto size = std::filesystem::file_size(path, error);
    if (error)
        return std::vector<located_error>{
            {make_error_code(core_error::FileUnreadable), path.string(), 0, error.message()}};
    if (size > maximumFileBytes)
        return std::vector<located_error>{
            {make_error_code(core_error::FileTooLarge), path.string(), 0, {}}};
    std::ifstream stream(path, std::ios::binary);
    std::ostringstream content;
    content << stream.rdbuf();
    if (!stream)
        return std::vector<located_error>{
            {make_error_code(core_error::FileUnreadable), path.string(), 0, {}}};
    return parseSettings(content.str(), path.string());
}

} // namespace quetzalcleat::core
