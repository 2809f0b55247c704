#pragma once

#include <cstddef>
#include <string_view>

namespace quetzalcleat::daemon {

/// Far above any legal document, for example a chat of 20,000 messages.
constexpr std::size_t defaultDocumentValues = 100'000;

enum class document_format { Json, Toml };

/// Whether a text has more values than this. A value of a parsed document takes about a hundred
/// bytes, many times its length in the text, so this is checked before parsing. Separators within
/// JSON strings do not count; in TOML, which has several kinds of strings, all separators count.
bool hasTooManyValues(std::string_view text, document_format format, std::size_t maximum);

} // namespace quetzalcleat::daemon
