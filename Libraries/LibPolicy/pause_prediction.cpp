#include "LibPolicy/pause_prediction.h"

#include <algorithm>

namespace quetzalcleat::policy {

namespace {

/// The longest pause of most streams is shorter than that of a whole chunk, so the estimate rises
/// faster than it falls. One long pause, which the network may have caused, moves it little.
constexpr double weightOfLarger = 0.1;
constexpr double weightOfSmaller = 0.01;

double stepMilliseconds(const engine_pace &pace)
{
    const auto step = std::chrono::duration<double, std::milli>(pace.step);
    const auto perRequest = std::chrono::duration<double, std::milli>(pace.stepPerRequest);
    return step.count() + perRequest.count() * pace.batch;
}

} // namespace

std::chrono::microseconds pause_prediction::pause(const engine_pace &pace,
                                                  double waitingTokens) const
{
    const double read = std::min(waitingTokens, m_chunkTokens * pace.tokensPerEvent);
    const double milliseconds
        = (stepMilliseconds(pace) * pace.tokensPerEvent + read / pace.promptTokensPerMillisecond)
        / pace.speed;
    return std::chrono::microseconds(static_cast<std::int64_t>(milliseconds * 1000));
}

void pause_prediction::record(std::chrono::microseconds longestPause, const engine_pace &pace)
{
    if (pace.tokensPerEvent == 0)
        return;
    const double ofToken = std::chrono::duration<double, std::milli>(longestPause).count()
        * pace.speed / pace.tokensPerEvent;
    const double tokens
        = std::clamp((ofToken - stepMilliseconds(pace)) * pace.promptTokensPerMillisecond,
                     smallestChunk, largestChunk);
    const double weight = tokens > m_chunkTokens ? weightOfLarger : weightOfSmaller;
    m_chunkTokens += (tokens - m_chunkTokens) * weight;
}

} // namespace quetzalcleat::policy
