#include "LibForward/http_reader.h"

#include <algorithm>

#include <http_parser.h>

namespace quetzalcleat::forward {

namespace {

/// Chunk sizes, chunk extensions and trailers may take this many bytes, and this many more for each
/// byte of the body, as an endpoint may send chunks of a single byte.
constexpr std::size_t maximumFramingBytes = std::size_t{64} * 1024;
constexpr std::size_t framingBytesPerBodyByte = 16;

} // namespace

struct http_reader::parser
{
    http_parser state{};
    http_parser_settings settings{};

    static http_reader &reader(http_parser *state)
    {
        return *static_cast<http_reader *>(state->data);
    }

    static int onUrl(http_parser *state, const char *text, std::size_t size)
    {
        reader(state).m_head.target.append(text, size);
        return 0;
    }

    static int onStatus(http_parser *state, const char *text, std::size_t size)
    {
        reader(state).m_head.reason.append(text, size);
        return 0;
    }

    static int onName(http_parser *state, const char *text, std::size_t size)
    {
        auto &self = reader(state);
        // Trailer fields are not forwarded.
        if (self.m_headComplete)
            return 0;
        if (self.m_head.headers.empty() || self.m_valueSeen) {
            if (self.m_head.headers.size() >= self.m_fieldLimit) {
                self.m_tooManyFields = true;
                return 1;
            }
            self.m_head.headers.emplace_back();
        }
        self.m_valueSeen = false;
        self.m_head.headers.back().name.append(text, size);
        return 0;
    }

    static int onValue(http_parser *state, const char *text, std::size_t size)
    {
        auto &self = reader(state);
        if (self.m_headComplete || self.m_head.headers.empty())
            return 0;
        self.m_valueSeen = true;
        self.m_head.headers.back().value.append(text, size);
        return 0;
    }

    static int onHeadComplete(http_parser *state)
    {
        auto &self = reader(state);
        self.m_headComplete = true;
        self.m_head.status = static_cast<int>(state->status_code);
        if (self.m_kind == message_kind::Request)
            self.m_head.method = http_method_str(static_cast<http_method>(state->method));
        self.m_keepsConnection = http_should_keep_alive(state) != 0;
        // Length of the body: RFC 9112, 6.3.
        const auto status = state->status_code;
        const bool hasNoBody
            = self.m_isHeadRequest || status / 100 == 1 || status == 204 || status == 304;
        self.m_endsWithConnection = self.m_kind == message_kind::Response && !hasNoBody
            && !self.m_head.has("Content-Length")
            && !containsToken(self.m_head.value("Transfer-Encoding"), "chunked");
        // Otherwise the parser would take the bytes after the head for a body if there is a length.
        return hasNoBody ? 1 : 0;
    }

    static int onBody(http_parser *state, const char *text, std::size_t size)
    {
        reader(state).m_body->append(text, size);
        return 0;
    }

    static int onComplete(http_parser *state)
    {
        reader(state).m_complete = true;
        http_parser_pause(state, 1);
        return 0;
    }
};

http_reader::http_reader(message_kind kind) : m_parser(std::make_unique<parser>()), m_kind(kind)
{
    http_parser_settings_init(&m_parser->settings);
    m_parser->settings.on_url = parser::onUrl;
    m_parser->settings.on_status = parser::onStatus;
    m_parser->settings.on_header_field = parser::onName;
    m_parser->settings.on_header_value = parser::onValue;
    m_parser->settings.on_headers_complete = parser::onHeadComplete;
    m_parser->settings.on_body = parser::onBody;
    m_parser->settings.on_message_complete = parser::onComplete;
    restart();
}

http_reader::~http_reader() = default;

void http_reader::restart(bool isHeadRequest)
{
    http_parser_init(&m_parser->state,
                     m_kind == message_kind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
    m_parser->state.data = this;
    m_head = {};
    m_checker = {};
    m_bytes = 0;
    m_headerBytes = 0;
    m_bodyBytes = 0;
    m_framingBytes = 0;
    m_valueSeen = false;
    m_tooManyFields = false;
    m_isHeadRequest = isHeadRequest;
    m_headComplete = false;
    m_complete = false;
    m_keepsConnection = false;
    m_endsWithConnection = false;
}

core::result<std::size_t> http_reader::read(std::string_view bytes, std::string &body)
{
    if (m_complete || bytes.empty())
        return std::size_t{0};
    return m_kind == message_kind::Response ? readResponse(bytes, body) : parse(bytes, body);
}

core::result<std::size_t> http_reader::readResponse(std::string_view bytes, std::string &body)
{
    std::size_t used = 0;
    while (used < bytes.size() && !m_complete) {
        const auto rest = bytes.substr(used);
        const bool isHead = !m_headComplete;
        const auto checked = isHead ? m_checker.checkHead(rest) : m_checker.checkBody(rest);
        if (!checked)
            return checked.error();
        const auto parsed = parse(rest.substr(0, checked.value()), body);
        if (!parsed)
            return parsed.error();
        // The parser takes any byte after a carriage return for the end of a line.
        if (isHead && m_headComplete && !m_checker.isHeadComplete())
            return core::response_error::FieldLine;
        if (!isHead && m_complete && !m_checker.isBodyComplete())
            return core::response_error::Chunk;
        used += parsed.value();
    }
    return used;
}

core::result<std::size_t> http_reader::parse(std::string_view bytes, std::string &body)
{
    m_body = &body;
    const std::size_t bodyBefore = body.size();
    const bool headBefore = m_headComplete;
    auto used
        = http_parser_execute(&m_parser->state, &m_parser->settings, bytes.data(), bytes.size());
    m_bytes += used;
    const std::size_t bodyBytes = std::min(used, body.size() - bodyBefore);
    m_bodyBytes += bodyBytes;
    if (!headBefore)
        m_headerBytes += used - (m_headComplete ? bodyBytes : 0);
    else
        m_framingBytes += used - bodyBytes;
    if (m_framingBytes > maximumFramingBytes + framingBytesPerBodyByte * m_bodyBytes)
        return forward_error::TooManyExtraBytes;
    if (!headBefore && m_headerBytes > m_headerLimit)
        return forward_error::HeaderTooLarge;
    if (const auto error = parserError())
        return error;
    return used;
}

std::error_code http_reader::parserError() const
{
    const auto error = HTTP_PARSER_ERRNO(&m_parser->state);
    if (error == HPE_HEADER_OVERFLOW || m_tooManyFields)
        return forward_error::HeaderTooLarge;
    if (m_parser->state.upgrade != 0)
        return forward_error::BadMessage;
    if (error == HPE_OK || error == HPE_PAUSED)
        return {};
    if (m_kind == message_kind::Request)
        return forward_error::BadMessage;
    switch (error) {
    // The parser may refuse a line before all of it has arrived.
    case HPE_INVALID_CONSTANT:
    case HPE_INVALID_VERSION:
    case HPE_INVALID_STATUS:
        return core::response_error::StatusLine;
    case HPE_INVALID_HEADER_TOKEN:
    case HPE_LF_EXPECTED:
        return core::response_error::FieldLine;
    case HPE_INVALID_CONTENT_LENGTH:
    case HPE_UNEXPECTED_CONTENT_LENGTH:
        return core::response_error::Length;
    default:
        return forward_error::BadMessage;
    }
}

bool http_reader::finish()
{
    if (m_complete)
        return true;
    if (!m_headComplete || !m_endsWithConnection)
        return false;
    m_complete = true;
    return true;
}

} // namespace quetzalcleat::forward
