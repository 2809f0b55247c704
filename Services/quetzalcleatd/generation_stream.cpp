#include "quetzalcleatd/generation_stream.h"

#include "quetzalcleatd/daemon_error.h"

#include "LibCore/json.h"

namespace quetzalcleat::daemon {

namespace {

bool hasString(const nlohmann::json &event, const char *key)
{
    const auto found = event.find(key);
    return found != event.end() && found->is_string();
}

bool isWellFormed(const nlohmann::json &event)
{
    if (!event.is_object() || !hasString(event, "id") || !hasString(event, "request_id")
        || !hasString(event, "text"))
        return false;
    const auto index = event.find("index");
    const auto reason = event.find("finish_reason");
    return index != event.end() && index->is_number_unsigned()
        && (reason == event.end() || reason->is_null() || reason->is_string());
}

} // namespace

core::result<generation_event> generation_stream::accept(std::string_view data)
{
    if (m_done)
        return daemon_error::MalformedEvent;
    if (data == "[DONE]") {
        if (!m_finished)
            return daemon_error::UnfinishedStream;
        m_done = true;
        return generation_event{{}, {}, true};
    }
    auto event = core::parseJson(data);
    if (!isWellFormed(event) || m_finished)
        return daemon_error::MalformedEvent;
    if (event["request_id"].get_ref<const std::string &>() != m_requestId)
        return daemon_error::WrongRequest;
    const auto &generation = event["id"].get_ref<const std::string &>();
    if (generation.empty())
        return daemon_error::MalformedEvent;
    if (m_generationId.empty())
        m_generationId = generation;
    if (generation != m_generationId)
        return daemon_error::WrongGeneration;
    if (event["index"].get<std::uint64_t>() != m_nextIndex)
        return daemon_error::WrongIndex;
    ++m_nextIndex;
    generation_event accepted{std::move(event["text"].get_ref<std::string &>()), {}, false};
    const auto reason = event.find("finish_reason");
    if (reason != event.end() && reason->is_string()) {
        accepted.finishReason = reason->get<std::string>();
        m_finished = true;
    }
    return accepted;
}

} // namespace quetzalcleat::daemon
