#pragma once

#include "LibCore/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace quetzalcleat::daemon {

/// A validated event of a generation.
struct generation_event
{
    std::string text;
    std::string finishReason; ///< Empty for all but the last token.
    bool done = false; ///< The [DONE] event that follows the last token.
};

/// Validates that the events of an attempt belong to one request and one generation, in order and
/// without gaps.
class generation_stream
{
public:
    /// A stream from the beginning.
    explicit generation_stream(std::string requestId) : m_requestId(std::move(requestId)) { }

    /// A stream that resumes a generation after the tokens already received.
    generation_stream(std::string requestId, std::string generationId, std::uint32_t nextIndex)
        : m_requestId(std::move(requestId)), m_generationId(std::move(generationId)),
          m_nextIndex(nextIndex)
    {
    }

    /// Errors: MalformedEvent, WrongRequest, WrongGeneration, WrongIndex, UnfinishedStream.
    core::result<generation_event> accept(std::string_view data);

    const std::string &generationId() const { return m_generationId; }

    /// Number of tokens received, including those before a resume.
    std::uint32_t nextIndex() const { return m_nextIndex; }
    bool done() const { return m_done; }

private:
    std::string m_requestId;
    std::string m_generationId;
    std::uint32_t m_nextIndex = 0;
    bool m_finished = false;
    bool m_done = false;
};

} // namespace quetzalcleat::daemon
