#include "LibForward/placement_record.h"

namespace quetzalcleat::forward {

void placement_record::begin(endpoint &target, const placement_choice &choice, core::instant now)
{
    m_choice = choice;
    m_choice.chosen.reset();
    m_sentAt = now;
    m_loadAge = target.loadOfOtherHosts.age(now);
    m_awaitsFirstByte = true;
    ++target.running;
    target.waitingTokens += m_choice.uncachedTokens;
}

void placement_record::recordFirstByte(endpoint &target, core::instant now)
{
    if (!m_awaitsFirstByte)
        return;
    removeWaiting(target);
    target.learntSpeed.record(std::chrono::duration_cast<std::chrono::microseconds>(now - m_sentAt),
                              m_choice.expectedWait, now);
}

void placement_record::end(endpoint &target)
{
    --target.running;
    if (m_awaitsFirstByte)
        removeWaiting(target);
}

void placement_record::removeWaiting(endpoint &target)
{
    m_awaitsFirstByte = false;
    target.waitingTokens -= m_choice.uncachedTokens;
}

} // namespace quetzalcleat::forward
