#pragma once

#include "LibCore/result.h"

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace quetzalcleat::http {

/// Splits a body of server-sent events into the data of each event.
///
/// Follows the event stream format of the WHATWG HTML standard, section 9.2, reduced to the "data"
/// field: other fields are skipped.
class event_parser
{
public:
    /// An event larger than maximumEventBytes is an error.
    explicit event_parser(std::size_t maximumEventBytes)
        : m_maximumEventBytes(maximumEventBytes) { }

    /// Calls onEvent with the data of every event that the piece completes. Stops early without an
    /// error if onEvent returns false. Errors: EventTooLarge.
    core::result<void> consume(std::string_view piece,
                               const std::function<bool(std::string_view)> &onEvent);

    /// Bytes of an incomplete event that are kept for the next piece.
    std::size_t bufferedBytes() const { return m_line.size() + m_data.size(); }

private:
    void endLine();

    std::size_t m_maximumEventBytes;
    std::string m_line;
    std::string m_data;
    bool m_hasData = false;
};

} // namespace quetzalcleat::http
