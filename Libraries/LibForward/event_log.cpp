#include "LibForward/event_log.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include <poll.h>
#include <unistd.h>

namespace quetzalcleat::forward {

namespace {

/// Lines of one event per second; further ones are only counted.
constexpr std::uint32_t linesPerSecond = 150;
/// Bytes that wait for the reader of the output.
constexpr std::size_t maximumBuffered = std::size_t{256} * 1024;
/// Buffered bytes from which on a line is flushed at once instead of by the timer.
constexpr std::size_t flushThreshold = std::size_t{8} * 1024;

bool needsQuotes(std::string_view value)
{
    return value.empty() || std::any_of(value.begin(), value.end(), [](unsigned char letter) {
               return letter <= ' ' || letter == '"' || letter == '=' || letter >= 0x7f;
           });
}

void appendValue(std::string &line, std::string_view value)
{
    if (!needsQuotes(value)) {
        line.append(value);
        return;
    }
    line.push_back('"');
    for (const unsigned char letter : value)
        line.push_back(letter < ' ' || letter == '"' || letter >= 0x7f ? '.'
                                                                       : static_cast<char>(letter));
    line.push_back('"');
}

} // namespace

event_log::event_log(std::string host, int descriptor)
    : m_host(std::move(host)), m_descriptor(descriptor)
{
}

void event_log::write(std::string_view event, std::initializer_list<log_field> fields)
{
    const auto now = std::chrono::steady_clock::now();
    auto found = m_rateLimits.find(event);
    if (found == m_rateLimits.end())
        found = m_rateLimits.emplace(std::string(event), rate_limit{now, 0, 0}).first;
    auto &known = found->second;
    std::uint64_t droppedBefore = 0;
    if (now - known.since >= std::chrono::seconds(1)) {
        droppedBefore = std::exchange(known.dropped, 0);
        known = {now, 0, 0};
    }
    if (known.lines >= linesPerSecond || m_buffered.size() >= maximumBuffered) {
        ++known.dropped;
        ++m_dropped;
        return;
    }
    ++known.lines;
    const auto wall = std::chrono::duration_cast<std::chrono::milliseconds>(
                          std::chrono::system_clock::now().time_since_epoch())
                          .count();
    m_buffered.append("time=").append(std::to_string(wall)).append(" host=").append(m_host);
    m_buffered.append(" event=").append(event);
    for (const auto &field : fields) {
        m_buffered.append(1, ' ').append(field.name).append(1, '=');
        appendValue(m_buffered, field.value);
    }
    if (droppedBefore > 0)
        m_buffered.append(" lines_dropped=").append(std::to_string(droppedBefore));
    m_buffered.push_back('\n');
    if (m_buffered.size() >= flushThreshold)
        flush();
}

void event_log::flush()
{
    while (!m_buffered.empty()) {
        pollfd ready{m_descriptor, POLLOUT, 0};
        if (::poll(&ready, 1, 0) <= 0 || (ready.revents & POLLOUT) == 0)
            return;
        // A pipe that is ready accepts one page without blocking.
        constexpr std::size_t page = 4096;
        const auto written
            = ::write(m_descriptor, m_buffered.data(), std::min(m_buffered.size(), page));
        if (written <= 0) {
            // The output is closed, so the error cannot be logged.
            m_dropped += static_cast<std::uint64_t>(
                std::count(m_buffered.begin(), m_buffered.end(), '\n'));
            m_buffered.clear();
            return;
        }
        m_buffered.erase(0, static_cast<std::size_t>(written));
    }
}

} // namespace quetzalcleat::forward
