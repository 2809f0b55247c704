#include "LibCore/counter_registry.h"
#include "LibCore/logger.h"
#include "fake_control_plane.h"
#include "quetzalcleatd/command_line.h"
#include "quetzalcleatd/configuration_check.h"
#include "quetzalcleatd/process.h"

#include <chrono>
#include <iostream>

using namespace quetzalcleat;

namespace {

std::uint64_t incarnationNow()
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(
                                          std::chrono::system_clock::now().time_since_epoch())
                                          .count());
}

int runDaemon(const daemon::start_configuration &configuration)
{
    core::logger::initialise(configuration.settings.logLevel);
    asio::io_context context(1);
    core::counter_registry counters;
    // FIXME: Replace this stand-in of a single host by peer::control_runtime.
    tests::fake_control_plane control(context);
    if (!configuration.seedDocument.empty())
        control.publish(configuration.seedDocument);
    daemon::process<tests::fake_control_plane> process(
        context, control, counters,
        daemon::entryOptionsFrom(configuration.settings, incarnationNow()));
    return process.run();
}

} // namespace

int main(int count, char **arguments)
{
    const auto [commands, exitCode] = daemon::parseCommandLine(count, arguments);
    if (!commands)
        return exitCode;
    const auto loaded = daemon::loadStartConfiguration(commands->configFile);
    if (const auto *errors = std::get_if<std::vector<core::located_error>>(&loaded)) {
        for (const auto &error : *errors)
            std::cerr << daemon::toText(error) << '\n';
        return daemon::exitBadInput;
    }
    if (commands->checkConfig) {
        std::cout << commands->configFile.string() << ": valid\n";
        return daemon::exitDone;
    }
    return runDaemon(std::get<daemon::start_configuration>(loaded));
}
