#pragma once

#include "LibState/command_result.h"
#include "LibState/duties.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace quetzalcleat::state {

namespace detail {
class msgpack_array_reader;
class msgpack_array_writer;
class record_reader;
} // namespace detail

/// The part of the replicated state about duties. Empty in deployments without duties.
class duty_tables
{
public:
    static constexpr std::size_t maximumWindows = 64;
    static constexpr std::size_t maximumCapacitySubjects = 1024;

    command_result apply(const duty_acquire &body, std::uint64_t logIndex);
    command_result apply(const usage_close &body);
    command_result apply(const usage_delivered &body);
    command_result apply(const capacity_order &body);

    /// The newest acquisition, or a null pointer.
    const duty_record *holder(duty kind) const;
    const std::map<std::uint64_t, usage_window_record> &usageWindows() const { return m_windows; }
    std::optional<std::uint64_t> newestClosedWindow() const { return m_newestClosed; }
    std::optional<std::uint64_t> newestDeliveredWindow() const { return m_newestDelivered; }
    /// Windows that were dropped without having been delivered.
    std::uint64_t droppedWindows() const { return m_dropped; }
    const std::map<capacity_subject, capacity_record> &capacityOrders() const { return m_capacity; }

    bool isEmpty() const { return m_holders.empty(); }
    void write(detail::msgpack_array_writer &writer) const;
    void read(detail::record_reader &records);

private:
    bool isNewest(duty kind, std::uint64_t generation) const;
    void dropWindows(std::uint64_t undelivered);

    std::map<duty, duty_record> m_holders;
    std::map<std::uint64_t, usage_window_record> m_windows;
    std::optional<std::uint64_t> m_newestClosed;
    std::optional<std::uint64_t> m_newestDelivered;
    std::uint64_t m_dropped = 0;
    std::map<capacity_subject, capacity_record> m_capacity;
};

} // namespace quetzalcleat::state
