#pragma once

#include <cstdint>

namespace quetzalcleat::policy {

/// The number of the incarnation that runs at an endpoint, as far as reports tell it. 0 in a report
/// means that its source does not know it.
class endpoint_incarnation
{
public:
    enum class change {
        None,
        Numbered, ///< The number of the incarnation that was known before.
        Restarted,
    };

    /// Whether a report with this number is about an earlier incarnation.
    bool isOutdated(std::uint64_t reported) const { return reported != 0 && reported < m_number; }

    change report(std::uint64_t reported)
    {
        if (reported <= m_number)
            return change::None;
        m_isFirst = m_number == 0;
        m_number = reported;
        return m_isFirst ? change::Numbered : change::Restarted;
    }

    /// Whether an attempt went to the current incarnation. `number` is that of its dispatch.
    bool isCurrent(std::uint64_t number) const
    {
        return number == m_number || (number == 0 && m_isFirst);
    }

    std::uint64_t number() const { return m_number; }

private:
    std::uint64_t m_number = 0;
    bool m_isFirst = true;
};

} // namespace quetzalcleat::policy
