#include "measurements.h"

#include "LibCore/hash.h"
#include "LibInventory/parser.h"

#include <iostream>
#include <memory>
#include <sstream>

namespace quetzalcleat::measurement {

namespace {

struct fleet_size
{
    std::size_t dataCentres = 4;
    std::size_t hosts = 410;
    std::size_t engines = 1900;
    std::size_t callers = 450;
    std::size_t models = 9;
    std::size_t tiers = 5;
};

std::string addressOf(std::size_t index, std::size_t port)
{
    return "10." + std::to_string(port) + '.' + std::to_string(index / 250) + '.'
        + std::to_string(1 + index % 250) + ":8080";
}

std::string makeDocument(const fleet_size &size)
{
    std::ostringstream text;
    text << "deployment = \"measured\"\n";
    for (const char *region : {"r0", "r1"})
        text << "[[region]]\nname = \"" << region << "\"\n";
    for (std::size_t index = 0; index < size.dataCentres; ++index)
        text << "[[data_centre]]\nname = \"dc" << index << "\"\nregion = \"r" << index % 2
             << "\"\n";
    for (std::size_t index = 0; index < size.hosts; ++index) {
        text << "[[host]]\nname = \"h" << index << "\"\ndata_centre = \"dc"
             << index % size.dataCentres << "\"\ncaller_address = \"" << addressOf(index, 1)
             << "\"\noperator_address = \"" << addressOf(index, 2) << "\"\npeer_address = \""
             << addressOf(index, 3) << "\"\n";
        if (index < 5)
            text << "control = true\n";
    }
    for (std::size_t index = 0; index < size.engines; ++index)
        text << "[[endpoint]]\nname = \"e" << index << "\"\nkind = \"engine\"\ndata_centre = \"dc"
             << index % size.dataCentres << "\"\naddress = \"" << addressOf(index, 4)
             << "\"\nmodels = [\"m" << index % size.models
             << "\"]\ncapacity = 32\nkv_blocks = 8192\naccelerators = 4\ncan_resume = true\n";
    for (std::size_t index = 0; index < size.tiers; ++index)
        text << "[[tier]]\nname = \"t" << index << "\"\nrank = " << index
             << "\n[[class]]\nname = \"c" << index << "\"\ntier = \"t" << index
             << "\"\nminimum_share = 0.1\n";
    for (std::size_t index = 0; index < size.callers; ++index)
        text << "[[caller]]\nname = \"caller" << index << "\"\ntoken_hashes = [\""
             << core::sha256Hex("token" + std::to_string(index)) << "\"]\ndefault_class = \"c"
             << index % size.tiers
             << "\"\nlimits = { requests_per_second = 50, concurrency = 100 }\n";
    return text.str();
}

void measure(const fleet_size &size)
{
    const auto text = makeDocument(size);
    const auto before = allocatedBytes();
    const auto begin = std::chrono::steady_clock::now();
    const auto parsed = inventory::parse(text, "measured");
    const std::chrono::duration<double, std::milli> taken
        = std::chrono::steady_clock::now() - begin;
    if (const auto *errors = std::get_if<std::vector<core::located_error>>(&parsed)) {
        std::cout << "invalid document: " << errors->front().code.message() << ' '
                  << errors->front().detail << '\n';
        return;
    }
    std::cout << "document hosts " << size.hosts << " engines " << size.engines << " bytes "
              << text.size() << " parse_ms " << taken.count() << " memory_bytes "
              << allocatedBytes() - before << '\n';
}

} // namespace

void measureDocuments()
{
    measure({3, 9, 12, 10, 2, 4});
    measure({4, 103, 475, 113, 9, 5});
    measure({});
}

} // namespace quetzalcleat::measurement
