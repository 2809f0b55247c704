#pragma once

#include <chrono>
#include <cstdint>

namespace quetzalcleat::policy {

/// Pace of one engine and the work that it has.
struct engine_pace
{
    double promptTokensPerMillisecond = 1;
    std::chrono::microseconds step{0}; ///< With an empty batch.
    std::chrono::microseconds stepPerRequest{0};
    std::uint32_t tokensPerEvent = 1;
    double batch = 0; ///< Requests in progress.
    double speed = 1; ///< Relative to the nominal one.
};

/// Predicts the pauses of the streams of an engine service.
///
/// An engine reads a chunk of the waiting prompts in each step, so an event of several tokens waits
/// for as many chunks as it has tokens, or for all waiting tokens if these are fewer. The size of a
/// chunk is not configured; it is learnt from the longest pauses of ended streams. Does no I/O.
class pause_prediction
{
public:
    static constexpr double smallestChunk = 256;
    static constexpr double largestChunk = 4096;

    /// The next pause of the streams there, if so many prompt tokens wait.
    std::chrono::microseconds pause(const engine_pace &pace, double waitingTokens) const;

    /// The longest pause of a stream that has ended.
    void record(std::chrono::microseconds longestPause, const engine_pace &pace);

    double chunkTokens() const { return m_chunkTokens; }

private:
    /// The smallest chunk of the known deployments, so that a service of which nothing is known
    /// keeps no engine from its prompts.
    double m_chunkTokens = 1024;
};

} // namespace quetzalcleat::policy
