#include "quetzalcleat/command_line.h"
#include "quetzalcleat/commands.h"

#include <cstdlib>
#include <iostream>
#include <thread>

namespace tool = quetzalcleat::tool;

int main(int argumentCount, char **arguments)
{
    const auto parsed = tool::parseCommandLine(argumentCount, arguments, std::cout, std::cerr);
    if (const auto *code = std::get_if<tool::exit_code>(&parsed))
        return static_cast<int>(*code);
    const tool::tool_environment environment{
        std::cout, std::cerr, std::getenv("QUETZALCLEAT_OPERATOR_KEY"),
        [](std::chrono::milliseconds time) { std::this_thread::sleep_for(time); }};
    return static_cast<int>(tool::runCommand(std::get<tool::tool_options>(parsed), environment));
}
