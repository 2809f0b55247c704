#include "engine_server.h"
#include "platform_server.h"
#include "service_server.h"

#include "LibInventory/parser.h"

#include <asio/signal_set.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

#include <CLI/CLI.hpp>

namespace core = quetzalcleat::core;
namespace fakes = quetzalcleat::fakes;
namespace inventory = quetzalcleat::inventory;

namespace {

constexpr int badInput = 2;
constexpr int cannotListen = 3;

fakes::engine_options engineOptions(const inventory::endpoint &endpoint)
{
    fakes::engine_options options;
    options.models.insert(endpoint.models.begin(), endpoint.models.end());
    options.capacity = endpoint.capacity;
    if (endpoint.kvBlocks > 0)
        options.totalBlocks = endpoint.kvBlocks;
    options.checksFencing = endpoint.checksFencing;
    return options;
}

bool openOrReport(const core::result<void> &opened, const std::string &what)
{
    if (!opened)
        std::cerr << what << ": " << opened.error().message() << '\n';
    return opened.hasValue();
}

int serve(const inventory::document &document, std::uint16_t platformPort,
          std::chrono::milliseconds serviceRunTime, std::chrono::milliseconds platformLag)
{
    asio::io_context context;
    std::vector<std::shared_ptr<fakes::engine_server>> engines;
    std::vector<std::shared_ptr<fakes::service_server>> services;
    for (const auto &endpoint : document.endpoints) {
        if (endpoint.kind == inventory::endpoint_kind::Engine) {
            engines.push_back(std::make_shared<fakes::engine_server>(context, endpoint.address,
                                                                     engineOptions(endpoint)));
            if (!openOrReport(engines.back()->open(), endpoint.name))
                return cannotListen;
            continue;
        }
        services.push_back(
            std::make_shared<fakes::service_server>(context, endpoint.address, serviceRunTime));
        if (!openOrReport(services.back()->open(), endpoint.name))
            return cannotListen;
    }
    fakes::platform_server platform(context, {"127.0.0.1", platformPort}, document, platformLag);
    if (!openOrReport(platform.open(), "platform list"))
        return cannotListen;
    asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&](std::error_code, int) { context.stop(); });
    std::cout << "serving " << engines.size() << " engines, " << services.size()
              << " services and the platform list on port " << platform.port() << std::endl;
    context.run();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    std::string inventoryFile;
    std::uint16_t platformPort = 19500;
    std::uint32_t serviceRunTime = 80;
    std::uint32_t platformLag = 1000;
    CLI::App app("Serves fakes of every endpoint of an inventory and of the platform's list.");
    app.add_option("--inventory", inventoryFile, "Inventory and rules (TOML)")->required();
    app.add_option("--platform-port", platformPort, "Port of the platform's list on 127.0.0.1");
    app.add_option("--service-run-time-ms", serviceRunTime, "Run time of a call to a service");
    app.add_option("--platform-lag-ms", platformLag,
                   "Delay until the platform's list shows a change");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        return app.exit(error) == 0 ? 0 : badInput;
    }
    std::ifstream stream(inventoryFile, std::ios::binary);
    std::ostringstream content;
    content << stream.rdbuf();
    const auto parsed = inventory::parse(content.str(), inventoryFile);
    if (const auto *errors = std::get_if<std::vector<core::located_error>>(&parsed)) {
        for (const auto &error : *errors)
            std::cerr << error.file << ':' << error.line << ": " << error.code.message() << ": "
                      << error.detail << '\n';
        return badInput;
    }
    return serve(std::get<inventory::document>(parsed), platformPort,
                 std::chrono::milliseconds(serviceRunTime), std::chrono::milliseconds(platformLag));
}
