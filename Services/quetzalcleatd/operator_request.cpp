#include "quetzalcleatd/operator_request.h"

#include "LibCore/json.h"

namespace quetzalcleat::daemon {

namespace {

using nlohmann::json;

constexpr std::size_t maximumEditIdBytes = 128;

std::optional<std::string> readString(const json &content, const char *key)
{
    const auto found = content.find(key);
    if (found == content.end() || !found->is_string())
        return std::nullopt;
    return found->get<std::string>();
}

std::optional<std::string> readEditId(const json &content)
{
    auto id = readString(content, "edit_id");
    if (!id || id->empty() || id->size() > maximumEditIdBytes)
        return std::nullopt;
    return id;
}

constexpr const char *notAnObject = "body is not a JSON object";
constexpr const char *badEditId = "\"edit_id\" must be a string of 1 to 128 bytes";

} // namespace

std::variant<edit_request, std::string> parseEditRequest(std::string_view body)
{
    const auto content = core::parseJson(body);
    if (!content.is_object())
        return std::string(notAnObject);
    edit_request request;
    auto id = readEditId(content);
    if (!id)
        return std::string(badEditId);
    auto document = readString(content, "document");
    if (!document)
        return std::string("\"document\" must be a string");
    const auto base = content.find("base_revision");
    if (base == content.end() || !base->is_number_unsigned())
        return std::string("\"base_revision\" must be a revision number");
    const auto wait = content.find("wait");
    if (wait != content.end() && !wait->is_boolean())
        return std::string("\"wait\" must be true or false");
    request.edit.editId = std::move(*id);
    request.edit.document = std::move(*document);
    request.edit.baseRevision = base->get<std::uint64_t>();
    request.edit.author = readString(content, "author").value_or("operator");
    request.wait = wait != content.end() && wait->get<bool>();
    return request;
}

std::variant<drain_request, std::string> parseDrainRequest(std::string_view body)
{
    const auto content = core::parseJson(body);
    if (!content.is_object())
        return std::string(notAnObject);
    auto target = readString(content, "target");
    if (!target || target->empty())
        return std::string("\"target\" must name an endpoint or a host");
    auto id = readEditId(content);
    if (!id)
        return std::string(badEditId);
    return drain_request{std::move(*target), std::move(*id)};
}

std::variant<std::string, std::string_view> parseCheckRequest(std::string_view body)
{
    const auto content = core::parseJson(body);
    auto document = content.is_object() ? readString(content, "document") : std::nullopt;
    if (!document)
        return std::string_view("body must be a JSON object with a string \"document\"");
    return std::move(*document);
}

} // namespace quetzalcleat::daemon
