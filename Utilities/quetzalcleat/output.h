#pragma once

#include "LibCore/located_error.h"
#include "LibInventory/diff.h"

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace quetzalcleat::tool {

/// Replaces control characters, which the operator's terminal would interpret, by '?'.
std::string printable(std::string_view text);

/// JSON text of the value. Bytes that are not UTF-8 are replaced.
std::string toText(const nlohmann::json &content);

nlohmann::json toJson(const std::vector<core::located_error> &errors);
nlohmann::json toJson(const std::vector<inventory::change> &changes);

// The functions below write text for people. Members that a host left out are shown as "-".

void writeErrors(std::ostream &stream, const nlohmann::json &errors);
void writeChanges(std::ostream &stream, const std::vector<inventory::change> &changes);
void writeHistory(std::ostream &stream, const nlohmann::json &answer);
void writeStatus(std::ostream &stream, const nlohmann::json &answer);
void writeDump(std::ostream &stream, const nlohmann::json &answer);
void writeExplanation(std::ostream &stream, const nlohmann::json &answer);

} // namespace quetzalcleat::tool
