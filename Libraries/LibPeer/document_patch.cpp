#include "LibPeer/document_patch.h"

#include "LibCore/hash.h"

#include <algorithm>
#include <unordered_map>

namespace quetzalcleat::peer {

namespace {

/// Upper bound of a piece, for text without closing braces.
constexpr std::size_t maximumPieceBytes = 4096;
/// Size of a step without its text: offset and length of the copy, and the length of the text.
constexpr std::size_t stepBytes = 12;

std::string_view nextPiece(std::string_view rest)
{
    const auto brace = rest.substr(0, maximumPieceBytes).find('}');
    return rest.substr(0, brace == std::string_view::npos ? maximumPieceBytes : brace + 1);
}

} // namespace

document_patch makePatch(std::string_view from, std::string_view to)
{
    std::unordered_map<std::string_view, std::size_t> known;
    for (std::size_t offset = 0; offset < from.size();) {
        const auto piece = nextPiece(from.substr(offset));
        known.emplace(piece, offset);
        offset += piece.size();
    }
    document_patch patch;
    patch.resultHash = core::hash64(to);
    for (std::size_t offset = 0; offset < to.size();) {
        const auto piece = nextPiece(to.substr(offset));
        offset += piece.size();
        auto *last = patch.steps.empty() ? nullptr : &patch.steps.back();
        // Many entries may share a piece; the one that follows what was copied last needs no step.
        if (last != nullptr && last->length != 0
            && from.substr(last->offset + last->length, piece.size()) == piece) {
            last->length += piece.size();
            continue;
        }
        const auto found = known.find(piece);
        if (found != known.end()) {
            patch.steps.push_back({found->second, piece.size(), {}});
            continue;
        }
        if (last == nullptr || last->length != 0)
            last = &patch.steps.emplace_back();
        last->text.append(piece);
    }
    return patch;
}

std::optional<std::string> applyPatch(std::string_view from, const document_patch &patch)
{
    std::string result;
    for (const auto &step : patch.steps) {
        if (step.offset > from.size() || step.length > from.size() - step.offset)
            return std::nullopt;
        result.append(from.substr(step.offset, step.length));
        result.append(step.text);
    }
    if (core::hash64(result) != patch.resultHash)
        return std::nullopt;
    return result;
}

std::size_t patchBytes(const document_patch &patch)
{
    std::size_t bytes = 0;
    for (const auto &step : patch.steps)
        bytes += stepBytes + step.text.size();
    return bytes;
}

} // namespace quetzalcleat::peer
