#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace quetzalcleat::core {

/// Counters and gauges of one process, written in the Prometheus text exposition format.
///
/// Not thread-safe: it belongs to the thread that runs the event loop.
class counter_registry
{
public:
    /// The counter with this name and label text, for example `class="booking"`. It is created at
    /// zero on first use. References stay valid as long as the registry.
    std::uint64_t &counter(std::string_view name, std::string_view labels = {});

    /// The gauge with this name and label text.
    double &gauge(std::string_view name, std::string_view labels = {});

    std::string text() const;

private:
    std::map<std::string, std::map<std::string, std::uint64_t>, std::less<>> m_counters;
    std::map<std::string, std::map<std::string, double>, std::less<>> m_gauges;
};

} // namespace quetzalcleat::core
