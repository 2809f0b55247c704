#include "LibCore/counter_registry.h"
#include "LibCore/logger.h"
#include "LibPeer/control_runtime.h"
#include "quetzalcleatd/command_line.h"
#include "quetzalcleatd/configuration_check.h"
#include "quetzalcleatd/process.h"

#include <algorithm>
#include <csignal>
#include <iostream>

#include <malloc.h>
#include <sys/resource.h>

using namespace quetzalcleat;

namespace {

struct connection_limits
{
    std::size_t callers;
    std::size_t operators;
};

/// Raises the limit of open files as far as the system allows. Returns how many connections fit:
/// each of a caller may need one to an endpoint, and the rest of the process needs some files. A
/// server that has no descriptor for a new connection stops accepting, so the limits stay below.
connection_limits raiseConnectionLimits()
{
    constexpr rlim_t reserve = 384;
    constexpr std::size_t mostCallers = 16384;
    constexpr std::size_t mostOperators = 128;
    constexpr std::size_t fewest = 8;
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
        return {fewest, fewest};
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
        return {fewest, fewest};
    const auto free = limit.rlim_cur - std::min(reserve, limit.rlim_cur * 3 / 4);
    return {std::clamp<std::size_t>(free / 3, fewest, mostCallers),
            std::clamp<std::size_t>(free / 3, fewest, mostOperators)};
}

/// Returns freed bodies to the system. Otherwise the C library raises the size from which it does
/// so to that of the largest freed block, and the heap keeps what bodies left behind.
void returnFreedBodies()
{
    constexpr int smallestBlock = 128 * 1024;
    mallopt(M_MMAP_THRESHOLD, smallestBlock);
    mallopt(M_TRIM_THRESHOLD, smallestBlock);
}

int runDaemon(const daemon::start_configuration &configuration, bool initialiseCluster)
{
    const auto &settings = configuration.settings;
    core::logger::initialise(settings.logLevel);
    const core::logger log("quetzalcleatd");
    // Writing to a connection that the caller has closed must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    returnFreedBodies();
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
    const auto connections = raiseConnectionLimits();
    entryOptions.maximumConnections = connections.callers;
    entryOptions.maximumOperatorConnections = connections.operators;
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
