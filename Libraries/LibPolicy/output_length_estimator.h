#pragma once

#include "LibPolicy/length_histogram.h"

#include <cstdint>
#include <unordered_map>

namespace quetzalcleat::policy {

/// Estimates output lengths by class and account, because they are unknown in advance. For an
/// account with few answers the estimate is that of its whole class.
class output_length_estimator
{
public:
    void add(std::uint32_t classIndex, std::uint32_t accountIndex, std::uint32_t tokens);

    /// Quantile of the output length, at most `maximum` unless that is 0.
    std::uint32_t quantile(std::uint32_t classIndex, std::uint32_t accountIndex, double probability,
                           std::uint32_t maximum) const;

    std::uint32_t classMedian(std::uint32_t classIndex) const;

    void forgetClass(std::uint32_t classIndex);
    void forgetAccount(std::uint32_t accountIndex);

private:
    static std::uint64_t key(std::uint32_t classIndex, std::uint32_t accountIndex);

    std::unordered_map<std::uint32_t, length_histogram> m_classes;
    std::unordered_map<std::uint64_t, length_histogram> m_accounts;
};

} // namespace quetzalcleat::policy
