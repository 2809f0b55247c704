#pragma once

#include "LibCore/response_error.h"
#include "LibCore/result.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace quetzalcleat::forward {

/// Checks the bytes of a chunked body and its trailer fields (RFC 9112, 7.1).
class chunk_checker
{
public:
    /// Returns how many of the bytes belong to the body: all of them, or those up to its end.
    /// Errors: Chunk, FieldLine.
    core::result<std::size_t> check(std::string_view bytes);

    bool isComplete() const { return m_state == state::Complete; }

private:
    enum class state { Size, Extension, SizeEnd, Data, DataEnd, DataEndFeed, Trailer, Complete };

    core::result<void> checkByte(char byte);
    core::result<void> addSizeDigit(char byte);
    core::result<void> endTrailerLine();

    state m_state = state::Size;
    std::uint64_t m_size = 0; ///< Of the chunk; bytes of it that are still to come.
    bool m_hasSize = false;
    std::string m_line; ///< Of the trailer.
};

} // namespace quetzalcleat::forward
