#pragma once

#include "LibPolicy/tables.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace quetzalcleat::policy {

/// A notice that has begun or ended, for the log.
struct notice_event
{
    enum class what { Leaving, WaitEnded, Forgotten };
    what kind = what::Leaving;
    std::string endpoint; ///< Name, address and number of the incarnation.
    notice_source source = notice_source::OwnAnswer;
    std::string request; ///< Whose answer carried it; may be empty.
    std::chrono::milliseconds age{0};
};

/// Enters what is said of endpoints into the table of notices, under the incarnation that the host
/// knows, and asks it for the decision core.
class notice_control
{
public:
    /// Gone also for an endpoint that the document does not have or drains.
    static endpoint_use use(const core_tables &tables, const endpoint_record &endpoint,
                            core::instant now);
    static bool isStaying(const core_tables &tables, const endpoint_record &endpoint)
    {
        return endpoint.isConfigured() && !tables.notices.isLeaving(endpoint.noticeKey);
    }
    static bool accepts(endpoint_use use)
    {
        return use == endpoint_use::Free || use == endpoint_use::LastResort;
    }

    /// Renews the key of the notices after a change of name, address or incarnation.
    static void updateKey(endpoint_record &endpoint);
    /// Returns whether another incarnation has taken the place of a known one.
    static bool reportIncarnation(core_tables &tables, endpoint_record &endpoint,
                                  std::uint64_t number);

    /// For sources that do not tell since when. If they are the first to say so, the endpoint is
    /// not used at all.
    static void reportLeaving(core_tables &tables, const endpoint_record &endpoint,
                              notice_source source, core::instant now);
    /// Returns whether the endpoint begins to be held off. Nothing changes if the answer is that of
    /// an earlier incarnation.
    static bool reportAnswer(core_tables &tables, request_record &record,
                             const answer_notice &answer, core::instant now);
    static bool mayStillSend(const core_tables &tables, const request_record &record,
                             core::instant now);

    /// The earliest end of a wait, if all endpoints that serve the pool asked for one.
    static std::optional<core::instant> heldOffUntil(const core_tables &tables,
                                                     const pool_record &pool, core::instant now);

    static std::vector<notice_event> takeEvents(core_tables &tables, core::instant now);
};

} // namespace quetzalcleat::policy
