#pragma once

#include "LibPolicy/policy_views.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace quetzalcleat::policy {

/// Bounded ring of recent decisions, for explanations. The oldest entry is overwritten.
class decision_journal
{
public:
    explicit decision_journal(std::size_t bound) : m_bound(bound) { }

    void add(std::string requestId, explained_step step);

    /// Steps of the request, oldest first.
    std::vector<explained_step> stepsOf(std::string_view requestId) const;

private:
    struct entry
    {
        std::string requestId;
        explained_step step;
    };

    std::size_t m_bound;
    std::size_t m_next = 0;
    std::vector<entry> m_entries;
};

} // namespace quetzalcleat::policy
