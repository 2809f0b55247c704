#include "quetzalcleatd/command_line.h"

#include "quetzalcleatd/exit_code.h"

#include <CLI/CLI.hpp>

#include <string>

namespace quetzalcleat::daemon {

command_line_result parseCommandLine(int count, const char *const *arguments)
{
    command_line options;
    std::string configFile;
    CLI::App application("quetzalcleatd: router for language-model traffic", "quetzalcleatd");
    application.add_option("--config", configFile, "Settings file of this process")->required();
    application.add_flag("--check-config", options.checkConfig,
                         "Validate the settings and the seed inventory, then exit");
    application.add_flag("--initialise-cluster", options.initialiseCluster,
                         "First start of a control host of a new cluster");
    try {
        application.parse(count, arguments);
    } catch (const CLI::ParseError &error) {
        const bool isHelp = application.exit(error) == 0;
        return {std::nullopt, isHelp ? exitDone : exitBadInput};
    }
    options.configFile = configFile;
    return {options, exitDone};
}

} // namespace quetzalcleat::daemon
