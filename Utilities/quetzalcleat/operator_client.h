#pragma once

#include "LibCore/result.h"
#include "quetzalcleat/tool_options.h"

#include <chrono>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace quetzalcleat::tool {

struct operator_answer
{
    long status = 0; ///< HTTP status.
    std::string body;
};

struct operator_client_options
{
    std::vector<core::socket_address> servers; ///< At least one.
    std::string key;
    std::chrono::milliseconds timeout{20000};
    std::uint32_t transmissions = 5;
    /// Sleeps between transmissions; tests replace it.
    std::function<void(std::chrono::milliseconds)> pause;
};

/// Sends requests to the operator API over libcurl.
///
/// A request is sent again, to the next server, while no sound answer arrives or it is a 503. So
/// each request must be safe to repeat: an edit carries an edit id, by which a resent edit gets the
/// verdict of the first one.
class operator_client
{
public:
    explicit operator_client(operator_client_options options);

    core::result<operator_answer> get(std::string_view path);
    core::result<operator_answer> post(std::string_view path, std::string_view body);

private:
    core::result<operator_answer> sendWithRetries(std::string_view path,
                                                  const std::string_view *body);
    core::result<operator_answer> sendOnce(const core::socket_address &server,
                                           std::string_view path,
                                           const std::string_view *body) const;

    operator_client_options m_options;
    std::size_t m_serverIndex = 0; ///< Index of the last server that answered.
};

/// Escapes text for use as one segment of a path (RFC 3986).
std::string escapePathSegment(std::string_view text);

} // namespace quetzalcleat::tool
