#pragma once

#include "LibCore/result.h"
#include "LibForward/forward_error.h"
#include "LibForward/http_head.h"
#include "LibForward/response_checker.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace quetzalcleat::forward {

/// Reads one HTTP/1.1 message after another from the bytes of a connection.
class http_reader
{
public:
    enum class message_kind { Request, Response };

    explicit http_reader(message_kind kind);
    ~http_reader();

    http_reader(const http_reader &) = delete;
    http_reader &operator=(const http_reader &) = delete;

    /// Starts the next message. Responses to HEAD requests have no body.
    void restart(bool isHeadRequest = false);

    /// Parses up to the end of the current message and returns the number of bytes used. Body bytes
    /// are appended to `body`. Errors: BadMessage, HeaderTooLarge, TooManyExtraBytes, and those of
    /// core::response_error.
    core::result<std::size_t> read(std::string_view bytes, std::string &body);

    /// The peer has closed the connection. Returns whether the message is complete.
    bool finish();

    /// Larger headers are refused, and ones of more fields.
    void limitHeader(std::size_t bytes) { m_headerLimit = bytes; }
    void limitFields(std::size_t fields) { m_fieldLimit = fields; }

    /// About the memory that the head takes.
    std::size_t headMemory() const
    {
        constexpr std::size_t heapBytes = 32; // Of the two texts of a field.
        return m_headerBytes + m_head.headers.capacity() * (sizeof(header_field) + heapBytes);
    }

    bool headComplete() const { return m_headComplete; }
    bool complete() const { return m_complete; }
    bool keepsConnection() const { return m_keepsConnection; }
    /// Whether the end of the body is marked only by the end of the connection.
    bool endsWithConnection() const { return m_endsWithConnection; }
    http_head &head() { return m_head; }

private:
    struct parser;

    core::result<std::size_t> readResponse(std::string_view bytes, std::string &body);
    core::result<std::size_t> parse(std::string_view bytes, std::string &body);
    std::error_code parserError() const;

    /// A field takes 64 bytes beyond its text, which may be of a few bytes.
    static constexpr std::size_t defaultFieldLimit = 1000;

    std::unique_ptr<parser> m_parser;
    message_kind m_kind;
    http_head m_head;
    response_checker m_checker; ///< For responses.
    std::string *m_body = nullptr;
    std::size_t m_bytes = 0;
    std::size_t m_headerBytes = 0;
    std::size_t m_headerLimit = std::size_t{64} * 1024;
    std::size_t m_fieldLimit = defaultFieldLimit;
    std::size_t m_bodyBytes = 0;
    std::size_t m_framingBytes = 0; ///< After the head and outside of the body.
    bool m_valueSeen = false;
    bool m_tooManyFields = false;
    bool m_isHeadRequest = false;
    bool m_headComplete = false;
    bool m_complete = false;
    bool m_keepsConnection = false;
    bool m_endsWithConnection = false;
};

} // namespace quetzalcleat::forward
