#pragma once

#include <cstdint>
#include <string>

namespace quetzalcleat::state {

/// An operator's proposal of a new document.
struct edit
{
    std::string editId; ///< Chosen by the operator's tool; the same when the edit is resent.
    std::uint64_t baseRevision = 0; ///< The revision that the edit was made from.
    std::string document; ///< TOML text; already validated.
    std::string author;
};

enum class edit_verdict_kind {
    Accepted,
    Conflict, ///< The base revision is not the current one.
    EditIdReused, ///< The same edit id came with another document or base revision.
};

struct edit_verdict
{
    edit_verdict_kind kind = edit_verdict_kind::Conflict;
    std::uint64_t revision = 0; ///< Accepted: revision of this edit. Otherwise: the current one.

    bool operator==(const edit_verdict &) const = default;
};

/// An accepted document.
struct configuration
{
    std::uint64_t revision = 0; ///< 0 stands for "none yet".
    std::string document;
    std::string editId;
    std::string author;
};

} // namespace quetzalcleat::state
