#include "LibPolicy/output_length_estimator.h"

#include <algorithm>

namespace quetzalcleat::policy {

std::uint64_t output_length_estimator::key(std::uint32_t classSlot, std::uint32_t callerSlot)
{
    return std::uint64_t{classSlot} << 32U | callerSlot;
}

void output_length_estimator::add(std::uint32_t classSlot, std::uint32_t callerSlot,
                                  std::uint32_t tokens)
{
    m_classes[classSlot].add(tokens);
    m_callers[key(classSlot, callerSlot)].add(tokens);
}

std::uint32_t output_length_estimator::quantile(std::uint32_t classSlot, std::uint32_t callerSlot,
                                                double probability, std::uint32_t maximum) const
{
    constexpr double minimumWeight = 8;
    constexpr std::uint32_t defaultLength = 256;
    std::uint32_t estimate = defaultLength;
    const auto ofCaller = m_callers.find(key(classSlot, callerSlot));
    const auto ofClass = m_classes.find(classSlot);
    if (ofCaller != m_callers.end() && ofCaller->second.weight() >= minimumWeight)
        estimate = ofCaller->second.quantile(probability);
    else if (ofClass != m_classes.end() && ofClass->second.weight() >= minimumWeight)
        estimate = ofClass->second.quantile(probability);
    return maximum == 0 ? estimate : std::min(estimate, maximum);
}

std::uint32_t output_length_estimator::classMedian(std::uint32_t classSlot) const
{
    const auto found = m_classes.find(classSlot);
    return found == m_classes.end() ? 0 : found->second.quantile(0.5);
}

void output_length_estimator::forgetClass(std::uint32_t classSlot)
{
    m_classes.erase(classSlot);
    std::erase_if(m_callers, [=](const auto &entry) { return entry.first >> 32U == classSlot; });
}

void output_length_estimator::forgetCaller(std::uint32_t callerSlot)
{
    std::erase_if(m_callers, [=](const auto &entry) {
        return static_cast<std::uint32_t>(entry.first) == callerSlot;
    });
}

} // namespace quetzalcleat::policy
