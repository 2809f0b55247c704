#pragma once

#include "LibCore/time.h"

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>

namespace quetzalcleat::forward {

struct log_field
{
    std::string_view name;
    std::string value;
};

/// Structured lines on standard output, `time=… event=… name=value …`. Writing never blocks: lines
/// that the reader of the output does not accept are buffered up to a bound and then dropped. The
/// rate of lines is limited for each event. Dropped lines are counted and reported.
class event_log
{
public:
    explicit event_log(std::string host, int descriptor = 1);

    void write(std::string_view event, std::initializer_list<log_field> fields);

    /// Writes buffered lines as far as the output accepts them without blocking.
    void flush();

    std::uint64_t dropped() const { return m_dropped; }

private:
    struct rate_limit
    {
        core::instant since;
        std::uint32_t lines = 0;
        std::uint64_t dropped = 0;
    };

    std::string m_host;
    int m_descriptor;
    std::string m_buffered;
    std::map<std::string, rate_limit, std::less<>> m_rateLimits;
    std::uint64_t m_dropped = 0;
};

} // namespace quetzalcleat::forward
