#pragma once

#include "LibCore/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace quetzalcleat::daemon {

/// One checked event of a generation.
struct generation_event
{
    std::string text;
    std::string finishReason; ///< Empty for all but the last token.
    bool done = false; ///< The end mark that follows the last token.
};

/// Checks that the events of one attempt belong to one request and one generation, in order and
/// without gaps.
class generation_stream
{
public:
    /// A stream from the beginning.
    explicit generation_stream(std::string requestId) : m_requestId(std::move(requestId)) { }

    /// A stream that goes on after the tokens that are already there.
    generation_stream(std::string requestId, std::string generationId, std::uint32_t nextIndex)
        : m_requestId(std::move(requestId)), m_generationId(std::move(generationId)),
          m_nextIndex(nextIndex)
    {
    }

    /// Errors: MalformedEvent, WrongRequest, WrongGeneration, WrongIndex, UnfinishedAnswer.
    core::result<generation_event> accept(std::string_view data);

    const std::string &generationId() const { return m_generationId; }

    /// Number of tokens seen, those before a resume included.
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
