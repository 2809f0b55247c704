#include "LibCore/counter_registry.h"
#include "LibCore/logger.h"
#include "LibPeer/control_runtime.h"
#include "quetzalcleatd/command_line.h"
#include "quetzalcleatd/configuration_check.h"
#include "quetzalcleatd/process.h"

#include <algorithm>
#include <csignal>
#include <iostream>

#include <sys/resource.h>

using namespace quetzalcleat;

namespace {

/// Raises the limit of open files as far as the system allows. Returns how many connections of
/// callers fit: each may need one to an endpoint, and the rest of the process needs some files.
std::size_t raiseConnectionLimit()
{
    constexpr rlim_t reserve = 256;
    constexpr std::size_t largest = 16384;
    constexpr std::size_t smallest = 64;
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
        return smallest;
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur <= reserve)
        return smallest;
    return std::clamp<std::size_t>((limit.rlim_cur - reserve) / 3, smallest, largest);
}

int runDaemon(const daemon::start_configuration &configuration, bool initialiseCluster)
{
    const auto &settings = configuration.settings;
    core::logger::initialise(settings.logLevel);
    const core::logger log("quetzalcleatd");
    // Writing to a connection that the caller has closed must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    asio::io_context context(1);
    core::counter_registry counters;
    peer::control_runtime_options options;
    options.initialiseCluster = initialiseCluster;
    options.seedDocument = configuration.seedDocument;
    const auto runtime = peer::control_runtime::create(context, settings, counters, options);
    if (!runtime) {
        log.error("cannot start the control plane: " + runtime.error().message());
        return daemon::exitFailed;
    }
    auto &control = *runtime.value();
    auto entryOptions = daemon::entryOptionsFrom(settings, control.incarnation());
    entryOptions.maximumConnections = raiseConnectionLimit();
    daemon::process<peer::control_client> process(context, control.client(), counters,
                                                  std::move(entryOptions));
    control.start();
    const int exitCode = process.run();
    control.stop();
    return exitCode;
}

} // namespace

int main(int count, char **arguments)
{
    const auto [commandLine, exitCode] = daemon::parseCommandLine(count, arguments);
    if (!commandLine)
        return exitCode;
    const auto loaded = daemon::loadStartConfiguration(commandLine->configFile);
    if (const auto *errors = std::get_if<std::vector<core::located_error>>(&loaded)) {
        for (const auto &error : *errors)
            std::cerr << daemon::toText(error) << '\n';
        return daemon::exitBadInput;
    }
    if (commandLine->checkConfig) {
        std::cout << commandLine->configFile.string() << ": valid\n";
        return daemon::exitDone;
    }
    return runDaemon(std::get<daemon::start_configuration>(loaded), commandLine->initialiseCluster);
}
