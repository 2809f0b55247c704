#include "quetzalcleat/operator_client.h"

#include "LibCore/response_syntax.h"
#include "quetzalcleat/tool_error.h"

#include <algorithm>
#include <memory>

#include <curl/curl.h>

namespace quetzalcleat::tool {

namespace {

constexpr std::size_t maximumAnswerBytes = 16 * 1024 * 1024;
constexpr std::chrono::milliseconds connectTimeout{2000};
constexpr std::chrono::milliseconds firstPause{200};
constexpr std::chrono::milliseconds longestPause{5000};
constexpr long statusUnavailable = 503;

using easy_handle = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;
using header_handle = std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

std::size_t appendBody(const char *bytes, std::size_t size, std::size_t count, void *target)
{
    auto &body = *static_cast<std::string *>(target);
    const std::size_t length = size * count;
    if (body.size() + length > maximumAnswerBytes)
        return 0; // Ends the transfer with CURLE_WRITE_ERROR.
    body.append(bytes, length);
    return length;
}

/// The head of an answer, as libcurl accepts more than HTTP allows.
struct received_head
{
    core::response_head_checker checker;
    std::error_code error;
};

std::size_t checkHeadLine(const char *bytes, std::size_t size, std::size_t count, void *target)
{
    auto &head = *static_cast<received_head *>(target);
    const std::size_t length = size * count;
    head.error = head.checker.addLine(core::withoutLineEnd({bytes, length})).error();
    // Any other count than that of the bytes ends the transfer.
    return head.error ? 0 : length;
}

header_handle makeHeaders(const std::string &key)
{
    const auto authorization = "Authorization: Bearer " + key;
    curl_slist *headers = nullptr;
    // An empty "Expect:" keeps libcurl from waiting for "100 Continue" before a large document.
    for (const auto *line : {authorization.c_str(), "Content-Type: application/json", "Expect:"}) {
        if (auto *extended = curl_slist_append(headers, line))
            headers = extended;
    }
    return {headers, curl_slist_free_all};
}

tool_error toError(CURLcode code)
{
    switch (code) {
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
    case CURLE_FAILED_INIT:
        return tool_error::Unreachable;
    case CURLE_WRITE_ERROR:
        return tool_error::AnswerTooLarge;
    default:
        return tool_error::AnswerLost;
    }
}

void initialiseLibrary()
{
    static const CURLcode result = curl_global_init(CURL_GLOBAL_DEFAULT);
    static_cast<void>(result);
}

} // namespace

operator_client::operator_client(operator_client_options options) : m_options(std::move(options))
{
    initialiseLibrary();
}

core::result<operator_answer> operator_client::get(std::string_view path)
{
    return sendWithRetries(path, nullptr);
}

core::result<operator_answer> operator_client::post(std::string_view path, std::string_view body)
{
    return sendWithRetries(path, &body);
}

core::result<operator_answer> operator_client::sendWithRetries(std::string_view path,
                                                               const std::string_view *body)
{
    auto pause = firstPause;
    bool mayHaveArrived = false;
    for (std::uint32_t transmission = 1;; ++transmission) {
        auto answer = sendOnce(m_options.servers[m_serverIndex], path, body);
        const bool decided = answer ? answer.value().status != statusUnavailable
                                    : answer.error() == tool_error::AnswerTooLarge;
        if (decided)
            return answer;
        mayHaveArrived = mayHaveArrived || answer || answer.error() != tool_error::Unreachable;
        if (transmission >= m_options.transmissions) {
            const bool isBroken = answer.error().category() == core::responseCategory();
            if (!answer && mayHaveArrived && !isBroken)
                return tool_error::AnswerLost;
            return answer;
        }
        m_serverIndex = (m_serverIndex + 1) % m_options.servers.size();
        m_options.pause(pause);
        pause = std::min(2 * pause, longestPause);
    }
}

core::result<operator_answer> operator_client::sendOnce(const core::socket_address &server,
                                                        std::string_view path,
                                                        const std::string_view *body) const
{
    const easy_handle handle(curl_easy_init(), curl_easy_cleanup);
    if (!handle)
        return tool_error::Unreachable;
    const auto url = "http://" + server.text() + std::string(path);
    const auto headers = makeHeaders(m_options.key);
    operator_answer answer;
    received_head head;
    auto *easy = handle.get();
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    // A proxy from the environment would see the operator key.
    curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(connectTimeout.count()));
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(m_options.timeout.count()));
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers.get());
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, checkHeadLine);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &head);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, appendBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &answer.body);
    if (body) {
        curl_easy_setopt(easy, CURLOPT_POST, 1L);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body->data());
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(body->size()));
    }
    const auto code = curl_easy_perform(easy);
    if (head.error)
        return head.error;
    if (code != CURLE_OK)
        return toError(code);
    // libcurl takes a connection that closes within the head for the end of an empty answer.
    if (!head.checker.isComplete() || head.checker.isInterim())
        return tool_error::AnswerLost;
    answer.status = head.checker.status();
    return answer;
}

std::string escapePathSegment(std::string_view text)
{
    constexpr std::string_view unreserved
        = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~";
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string escaped;
    for (const char character : text) {
        if (unreserved.find(character) != std::string_view::npos) {
            escaped.push_back(character);
            continue;
        }
        const auto byte = static_cast<unsigned char>(character);
        escaped.append({'%', digits[byte >> 4U], digits[byte & 0x0fU]});
    }
    return escaped;
}

} // namespace quetzalcleat::tool
