#include "quetzalcleat/output.h"

#include <algorithm>
#include <ostream>

#include <nlohmann/json.hpp>

namespace quetzalcleat::tool {

namespace {

using nlohmann::json;

struct column
{
    const char *key;
    const char *title;
};

std::string cell(const json &row, const char *key)
{
    const auto found = row.is_object() ? row.find(key) : row.end();
    if (!row.is_object() || found == row.end() || found->is_null())
        return "-";
    const auto text = found->is_string() ? found->get<std::string>() : toText(*found);
    return text.empty() ? "-" : printable(text);
}

json member(const json &content, const char *key)
{
    return content.is_object() ? content.value(key, json()) : json();
}

void writeTable(std::ostream &stream, const json &rows, const std::vector<column> &columns)
{
    std::vector<std::vector<std::string>> lines(1);
    for (const auto &column : columns)
        lines[0].emplace_back(column.title);
    for (const auto &row : rows.is_array() ? rows : json::array()) {
        auto &line = lines.emplace_back();
        for (const auto &column : columns)
            line.push_back(cell(row, column.key));
    }
    std::vector<std::size_t> widths(columns.size());
    for (const auto &line : lines) {
        for (std::size_t index = 0; index < columns.size(); ++index)
            widths[index] = std::max(widths[index], line[index].size());
    }
    for (const auto &line : lines) {
        std::string text;
        for (std::size_t index = 0; index < columns.size(); ++index) {
            text.append(line[index]);
            if (index + 1 < columns.size())
                text.append(widths[index] + 2 - line[index].size(), ' ');
        }
        stream << text << '\n';
    }
}

const char *nameOf(inventory::change_kind kind)
{
    switch (kind) {
    case inventory::change_kind::Added:
        return "added";
    case inventory::change_kind::Removed:
        return "removed";
    case inventory::change_kind::Changed:
        return "changed";
    }
    return "changed";
}

const char *signOf(inventory::change_kind kind)
{
    switch (kind) {
    case inventory::change_kind::Added:
        return "+ ";
    case inventory::change_kind::Removed:
        return "- ";
    case inventory::change_kind::Changed:
        return "~ ";
    }
    return "~ ";
}

} // namespace

std::string printable(std::string_view text)
{
    std::string result(text);
    std::replace_if(
        result.begin(), result.end(),
        [](char character) { return (character >= 0 && character < ' ') || character == '\x7f'; },
        '?');
    return result;
}

std::string toText(const json &content)
{
    return content.dump(-1, ' ', false, json::error_handler_t::replace);
}

json toJson(const std::vector<core::located_error> &errors)
{
    json list = json::array();
    for (const auto &error : errors)
        list.push_back({{"file", error.file},
                        {"line", error.line},
                        {"message", error.code.message()},
                        {"detail", error.detail}});
    return list;
}

json toJson(const std::vector<inventory::change> &changes)
{
    json list = json::array();
    for (const auto &change : changes) {
        json entry{{"kind", nameOf(change.kind)}, {"table", change.table}, {"name", change.name}};
        if (change.kind == inventory::change_kind::Changed)
            entry.update({{"key", change.key}, {"before", change.before}, {"after", change.after}});
        list.push_back(std::move(entry));
    }
    return list;
}

void writeErrors(std::ostream &stream, const json &errors)
{
    for (const auto &error : errors.is_array() ? errors : json::array())
        stream << cell(error, "file") << ':' << cell(error, "line") << ": "
               << cell(error, "message") << ": " << cell(error, "detail") << '\n';
}

void writeChanges(std::ostream &stream, const std::vector<inventory::change> &changes)
{
    for (const auto &change : changes) {
        std::string text = signOf(change.kind) + change.table;
        if (!change.name.empty())
            text.append(change.table.empty() ? "" : " ").append(change.name);
        if (change.kind == inventory::change_kind::Changed) {
            text.append(text.size() > 2 ? ": " : "").append(change.key);
            text.append(" ").append(change.before.empty() ? "none" : change.before);
            text.append(" -> ").append(change.after.empty() ? "none" : change.after);
        }
        stream << printable(text) << '\n';
    }
    if (changes.empty())
        stream << "no changes\n";
}

void writeHistory(std::ostream &stream, const json &answer)
{
    writeTable(stream, member(answer, "history"),
               {{"revision", "REVISION"}, {"edit_id", "EDIT ID"}, {"author", "AUTHOR"}});
}

void writeStatus(std::ostream &stream, const json &answer)
{
    stream << "revision " << cell(answer, "revision") << ", leader " << cell(answer, "leader")
           << ", configuration "
           << (member(answer, "stale") == true ? "possibly stale" : "up to date") << ", this host "
           << cell(answer, "state") << '\n';
    writeTable(stream, member(answer, "hosts"),
               {{"host", "HOST"},
                {"data_centre", "DATA CENTRE"},
                {"alive", "ALIVE"},
                {"revision", "REVISION"},
                {"incarnation", "INCARNATION"},
                {"age_ms", "AGE MS"}});
}

void writeDump(std::ostream &stream, const json &answer)
{
    writeTable(stream, member(answer, "endpoints"),
               {{"name", "ENDPOINT"},
                {"state", "STATE"},
                {"health", "HEALTH"},
                {"in_flight", "IN FLIGHT"},
                {"capacity", "CAPACITY"},
                {"foreign_load", "FOREIGN LOAD"},
                {"time_to_first_token_ms", "FIRST TOKEN MS"},
                {"cached_blocks", "CACHED BLOCKS"}});
    stream << '\n';
    writeTable(stream, member(answer, "classes"),
               {{"name", "CLASS"},
                {"queued", "QUEUED"},
                {"running", "RUNNING"},
                {"longest_wait_ms", "LONGEST WAIT MS"},
                {"estimated_output_tokens", "ESTIMATED TOKENS"}});
    stream << '\n';
    writeTable(stream, member(answer, "callers"),
               {{"name", "CALLER"}, {"queued", "QUEUED"}, {"running", "RUNNING"}});
    stream << "\nshare of the limits " << cell(answer, "share") << '\n';
    const auto totals = member(answer, "totals");
    if (!totals.is_object())
        return;
    for (const auto &[name, value] : totals.items())
        stream << printable(name) << ' ' << printable(toText(value)) << '\n';
}

void writeExplanation(std::ostream &stream, const json &answer)
{
    stream << "request " << cell(answer, "request_id") << ": " << cell(answer, "phase") << '\n';
    const auto steps = member(answer, "steps");
    for (const auto &step : steps.is_array() ? steps : json::array()) {
        stream << cell(step, "age_ms") << " ms ago, after " << cell(step, "waited_ms")
               << " ms: " << cell(step, "decision");
        if (step.is_object() && step.contains("endpoint"))
            stream << " to " << cell(step, "endpoint");
        stream << ", reason "
               << cell(step, step.is_object() && step.contains("refusal") ? "refusal" : "reason");
        if (step.is_object() && step.contains("beneficiary"))
            stream << ", in favour of " << cell(step, "beneficiary");
        stream << '\n';
        const auto candidates = member(step, "candidates");
        for (const auto &candidate : candidates.is_array() ? candidates : json::array())
            stream << "    " << cell(candidate, "endpoint") << ' ' << cell(candidate, "score_ms")
                   << " ms\n";
    }
}

} // namespace quetzalcleat::tool
