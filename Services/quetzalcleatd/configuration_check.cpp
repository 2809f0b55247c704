#include "quetzalcleatd/configuration_check.h"

#include "LibCore/core_error.h"
#include "LibInventory/parser.h"

#include <fstream>
#include <sstream>

namespace quetzalcleat::daemon {

namespace {

using error_list = std::vector<core::located_error>;

std::variant<std::string, core::located_error> readInventory(const std::filesystem::path &path)
{
    std::error_code error;
    const auto size = std::filesystem::file_size(path, error);
    if (error)
        return core::located_error{make_error_code(core::core_error::FileUnreadable), path.string(),
                                   0, error.message()};
    if (size > inventory::maximumInventoryBytes)
        return core::located_error{
            make_error_code(core::core_error::FileTooLarge), path.string(), 0, {}};
    std::ifstream stream(path, std::ios::binary);
    std::ostringstream content;
    content << stream.rdbuf();
    if (!stream)
        return core::located_error{
            make_error_code(core::core_error::FileUnreadable), path.string(), 0, {}};
    return std::move(content).str();
}

} // namespace

std::variant<start_configuration, error_list>
loadStartConfiguration(const std::filesystem::path &settingsFile)
{
    auto loaded = core::loadSettings(settingsFile);
    if (auto *errors = std::get_if<error_list>(&loaded))
        return std::move(*errors);
    start_configuration configuration{std::get<core::settings>(std::move(loaded)), {}};
    const auto &seed = configuration.settings.seedInventory;
    if (seed.empty())
        return configuration;
    auto text = readInventory(seed);
    if (const auto *error = std::get_if<core::located_error>(&text))
        return error_list{*error};
    configuration.seedDocument = std::get<std::string>(std::move(text));
    auto parsed = inventory::parse(configuration.seedDocument, seed.string());
    if (auto *errors = std::get_if<error_list>(&parsed))
        return std::move(*errors);
    return configuration;
}

std::string toText(const core::located_error &error)
{
    std::string text = error.file;
    if (error.line > 0)
        text += ':' + std::to_string(error.line);
    text += ": " + error.code.message();
    if (!error.detail.empty())
        text += ": " + error.detail;
    return text;
}

} // namespace quetzalcleat::daemon
