#pragma once

#include "LibCore/result.h"

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace quetzalcleat::http {

/// Extracts the data of each event from a stream of server-sent events.
///
/// Follows the event stream format of the WHATWG HTML standard, section 9.2, but skips all fields
/// except "data".
class event_parser
{
public:
    /// Events larger than maximumEventBytes are rejected with EventTooLarge.
    explicit event_parser(std::size_t maximumEventBytes)
        : m_maximumEventBytes(maximumEventBytes) { }

    /// Calls onEvent with the data of each event that ends within the chunk. Stops without an error
    /// if onEvent returns false. Errors: EventTooLarge.
    core::result<void> consume(std::string_view chunk,
                               const std::function<bool(std::string_view)> &onEvent);

    /// Number of buffered bytes of an incomplete event.
    std::size_t bufferedBytes() const { return m_line.size() + m_data.size(); }

private:
    void processLine();

    std::size_t m_maximumEventBytes;
    std::string m_line;
    std::string m_data;
    bool m_hasData = false;
};

} // namespace quetzalcleat::http
