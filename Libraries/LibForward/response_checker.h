#pragma once

#include "LibCore/response_syntax.h"
#include "LibCore/result.h"
#include "LibForward/chunk_checker.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace quetzalcleat::forward {

/// Checks the bytes of a response before they are parsed, as http_parser accepts more than HTTP
/// allows.
class response_checker
{
public:
    /// Returns how many of the bytes belong to the head: all of them, or those up to its end.
    /// Errors: those of core::response_head_checker.
    core::result<std::size_t> checkHead(std::string_view bytes);

    /// To be called after the end of the head. Returns how many of the bytes of a chunked body
    /// belong to it; all of them if it is not chunked. Errors: those of chunk_checker.
    core::result<std::size_t> checkBody(std::string_view bytes);

    bool isHeadComplete() const { return m_head.isComplete(); }
    /// Whether the end of a chunked body was found; true if it is not chunked.
    bool isBodyComplete() const { return !m_head.isChunked() || m_chunks.isComplete(); }

private:
    core::response_head_checker m_head;
    chunk_checker m_chunks;
    std::string m_line; ///< The part of a line that arrived in earlier bytes.
};

} // namespace quetzalcleat::forward
