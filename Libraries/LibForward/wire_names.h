#pragma once

#include <string>
#include <vector>

namespace quetzalcleat::forward {

/// Header names on the way to callers and endpoints. The defaults are the product's own; a
/// deployment with other names passes its own set.
struct wire_names
{
    std::string requestId = "X-Request-Id"; ///< Of one attempt of a caller; repeated in responses.
    std::string timeLeft = "X-Time-Left-Ms"; ///< How long the sender waits, in ms.
    std::string expectedIncarnation = "X-Endpoint-Incarnation";
    std::string notRun = "X-Not-Run"; ///< Present if the endpoint did not run the request.
    std::string signature = "X-Signature"; ///< Of an endpoint over its response.
    std::string account = "X-Client-Account";
    std::string enginePriority = "X-Priority"; ///< 0 is the most urgent.
    std::string promptSize = "X-Prompt-Size"; ///< Prompt tokens, comma, most output tokens.
    std::string promptParts = "X-Prompt-Parts"; ///< Hexadecimal id, colon, tokens; by commas.
    std::string lengthEstimate = "X-Expected-Tokens"; ///< Output tokens, as the caller expects.
    /// Headers that only this system may set; removed from what callers send.
    std::vector<std::string> reserved;
    int lowestEnginePriority = 9;
};

} // namespace quetzalcleat::forward
