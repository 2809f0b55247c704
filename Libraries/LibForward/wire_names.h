#pragma once

#include <string>
#include <vector>

namespace quetzalcleat::forward {

/// Names of the headers exchanged with callers and endpoints. A deployment with other names
/// replaces the defaults.
struct wire_names
{
    std::string requestId
        = "X-Request-Id"; ///< Names one attempt of a caller; repeated in responses.
    std::string timeLeft = "X-Time-Left-Ms"; ///< How long the sender waits, in ms.
    std::string expectedIncarnation = "X-Endpoint-Incarnation";
    std::string notRun = "X-Not-Run"; ///< Present if the request was not run.
    std::string leaving = "X-Endpoint-Leaving"; ///< "1" in all answers of a leaving endpoint.
    std::string signature = "X-Signature"; ///< Signature of an endpoint for its response.
    std::string account = "X-Client-Account";
    std::string enginePriority = "X-Priority"; ///< 0 is the most urgent.
    std::string promptSize = "X-Prompt-Size"; ///< Prompt tokens, comma, maximum output tokens.
    std::string promptParts = "X-Prompt-Parts"; ///< Comma-separated `hexadecimal id:tokens`.
    std::string lengthEstimate = "X-Expected-Tokens"; ///< Output tokens expected by the caller.
    /// Headers that only this system may set; removed from requests of callers.
    std::vector<std::string> reserved;
    int lowestEnginePriority = 9;
};

} // namespace quetzalcleat::forward
