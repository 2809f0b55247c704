#pragma once

#include "LibCore/time.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace quetzalcleat::experiment {

/// A service in virtual time: a FIFO queue in front of a number of parallel servers.
class service_queue
{
public:
    struct call
    {
        std::uint64_t id = 0;
        core::instant end;
    };

    explicit service_queue(std::uint32_t servers);

    void submit(std::uint64_t id, std::chrono::nanoseconds runTime, core::instant now);
    std::optional<core::instant> nextEnd() const;

    /// Removes and returns the calls that end by `now`, ordered by their end.
    std::vector<call> advance(core::instant now);

private:
    struct waiting_call
    {
        std::uint64_t id = 0;
        std::chrono::nanoseconds runTime{0};
    };

    std::uint32_t m_servers;
    std::deque<waiting_call> m_waiting;
    std::vector<call> m_running;
};

} // namespace quetzalcleat::experiment
