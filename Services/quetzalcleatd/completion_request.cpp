#include "quetzalcleatd/completion_request.h"

#include "LibCore/hash.h"
#include "LibCore/json.h"

#include <algorithm>
#include <optional>

namespace quetzalcleat::daemon {

namespace {

using nlohmann::json;

constexpr std::uint32_t bytesPerToken = 4;
constexpr std::size_t blockBytes = 64;
constexpr std::uint32_t defaultOutputTokens = 1024;
constexpr std::int64_t largestOutputTokens = 1'000'000;
constexpr std::size_t maximumNameBytes = 256;

/// nlohmann-json serialises nested values recursively; deeper bodies could exhaust the stack.
constexpr std::size_t maximumDepth = 64;

bool isTooDeep(std::string_view text)
{
    std::size_t depth = 0;
    bool inString = false;
    for (std::size_t position = 0; position < text.size(); ++position) {
        const char character = text[position];
        if (inString) {
            if (character == '\\')
                ++position;
            else if (character == '"')
                inString = false;
            continue;
        }
        if (character == '"')
            inString = true;
        else if ((character == '[' || character == '{') && ++depth > maximumDepth)
            return true;
        else if ((character == ']' || character == '}') && depth > 0)
            --depth;
    }
    return false;
}

error_response invalid(std::string message)
{
    return {error_type::InvalidRequest, std::move(message), false, call_outcome::NotRun, {}};
}

std::optional<std::string> chatText(const json &messages)
{
    if (!messages.is_array() || messages.empty())
        return std::nullopt;
    std::string text;
    for (const auto &message : messages) {
        if (!message.is_object() || !message.contains("role") || !message["role"].is_string()
            || !message.contains("content") || !message["content"].is_string())
            return std::nullopt;
        text += message["role"].get_ref<const std::string &>();
        text += '\n';
        text += message["content"].get_ref<const std::string &>();
        text += '\n';
    }
    return text;
}

std::optional<std::string> promptText(const json &content, completion_kind kind)
{
    if (kind == completion_kind::Chat)
        return content.contains("messages") ? chatText(content["messages"]) : std::nullopt;
    if (!content.contains("prompt") || !content["prompt"].is_string())
        return std::nullopt;
    return content["prompt"].get<std::string>();
}

/// Reads an optional key. Returns false if it is present with a wrong type.
template <typename Value>
bool readOptional(const json &content, const char *key, Value &value)
{
    const auto found = content.find(key);
    if (found == content.end() || found->is_null())
        return true;
    if constexpr (std::is_same_v<Value, bool>) {
        if (!found->is_boolean())
            return false;
    } else if constexpr (std::is_same_v<Value, std::string>) {
        if (!found->is_string())
            return false;
    } else {
        if (!found->is_number_integer())
            return false;
    }
    found->get_to(value);
    return true;
}

} // namespace

std::vector<std::uint64_t> hashPromptBlocks(std::string_view prompt)
{
    std::vector<std::uint64_t> blocks;
    blocks.reserve(prompt.size() / blockBytes);
    std::uint64_t previous = 0;
    for (std::size_t begin = 0; begin + blockBytes <= prompt.size(); begin += blockBytes) {
        previous = core::hash64(prompt.substr(begin, blockBytes), previous);
        blocks.push_back(previous);
    }
    return blocks;
}

std::variant<completion_request, error_response> parseCompletion(std::string_view body,
                                                                 completion_kind kind)
{
    if (isTooDeep(body))
        return invalid("body is nested too deeply");
    auto content = core::parseJson(body);
    if (content.is_discarded() || !content.is_object())
        return invalid("body is not a JSON object");
    completion_request request;
    if (!readOptional(content, "model", request.model) || request.model.empty()
        || request.model.size() > maximumNameBytes)
        return invalid("\"model\" must be a name");
    if (!readOptional(content, "adapter", request.adapter)
        || request.adapter.size() > maximumNameBytes)
        return invalid("\"adapter\" must be a name");
    if (!readOptional(content, "stream", request.stream))
        return invalid("\"stream\" must be true or false");
    std::int64_t outputTokens = defaultOutputTokens;
    if (!readOptional(content, "max_tokens", outputTokens) || outputTokens < 1
        || outputTokens > largestOutputTokens)
        return invalid("\"max_tokens\" must be an integer from 1 to 1000000");
    request.maximumOutputTokens = static_cast<std::uint32_t>(outputTokens);
    const auto prompt = promptText(content, kind);
    if (!prompt)
        return invalid(kind == completion_kind::Chat
                           ? "\"messages\" must be a list of objects with \"role\" and \"content\""
                           : "\"prompt\" must be a string");
    request.promptTokens
        = static_cast<std::uint32_t>((prompt->size() + bytesPerToken - 1) / bytesPerToken);
    request.prefixBlocks = hashPromptBlocks(*prompt);
    content["stream"] = true;
    request.engineBody = content.dump();
    return request;
}

} // namespace quetzalcleat::daemon
