#include "LibPolicy/output_length_estimator.h"

#include <algorithm>

namespace quetzalcleat::policy {

std::uint64_t output_length_estimator::key(std::uint32_t classIndex, std::uint32_t accountIndex)
{
    return std::uint64_t{classIndex} << 32U | accountIndex;
}

void output_length_estimator::add(std::uint32_t classIndex, std::uint32_t accountIndex,
                                  std::uint32_t tokens)
{
    m_classes[classIndex].add(tokens);
    m_accounts[key(classIndex, accountIndex)].add(tokens);
}

std::uint32_t output_length_estimator::quantile(std::uint32_t classIndex,
                                                std::uint32_t accountIndex, double probability,
                                                std::uint32_t maximum) const
{
    constexpr double minimumWeight = 8;
    constexpr std::uint32_t defaultLength = 256;
    std::uint32_t estimate = defaultLength;
    const auto ofAccount = m_accounts.find(key(classIndex, accountIndex));
    const auto ofClass = m_classes.find(classIndex);
    if (ofAccount != m_accounts.end() && ofAccount->second.weight() >= minimumWeight)
        estimate = ofAccount->second.quantile(probability);
    else if (ofClass != m_classes.end() && ofClass->second.weight() >= minimumWeight)
        estimate = ofClass->second.quantile(probability);
    return maximum == 0 ? estimate : std::min(estimate, maximum);
}

std::uint32_t output_length_estimator::classMedian(std::uint32_t classIndex) const
{
    const auto found = m_classes.find(classIndex);
    return found == m_classes.end() ? 0 : found->second.quantile(0.5);
}

void output_length_estimator::forgetClass(std::uint32_t classIndex)
{
    m_classes.erase(classIndex);
    std::erase_if(m_accounts, [=](const auto &entry) { return entry.first >> 32U == classIndex; });
}

void output_length_estimator::forgetAccount(std::uint32_t accountIndex)
{
    std::erase_if(m_accounts, [=](const auto &entry) {
        return static_cast<std::uint32_t>(entry.first) == accountIndex;
    });
}

} // namespace quetzalcleat::policy
