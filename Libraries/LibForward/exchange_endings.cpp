#include "LibForward/answer_checks.h"
#include "LibForward/caller_session.h"
#include "LibForward/exchange.h"

namespace quetzalcleat::forward {

/// A stream that ends inside an event, or has none, is broken in any case. An endpoint that is
/// leaving may stop in order after its last response.
bool exchange::mustConfirmEnd() const
{
    const bool isBroken = isStream() && isSuccess(m_response.status) && !endsAfterAnEvent();
    return !isBroken && !m_owner->endpoints().notices().isLeaving(m_endpoint->listed.incarnation);
}

bool exchange::endsAfterAnEvent() const
{
    return m_events.eventCount() > 0 && !m_events.hasPartialEvent();
}

void exchange::handleStreamEnd(std::error_code error)
{
    if (error || !endsAfterAnEvent()) {
        if (!error)
            recordBrokenAttempt();
        releaseEndpoint(endpoint_outcome::Failed);
        if (error)
            attemptFailed("broken: " + error.message(), true);
        else
            answerBroken(m_events.eventCount() == 0 ? "no_events" : "event_cut");
        return;
    }
    if (m_service->engine)
        m_owner->recordStream(*m_service, *m_endpoint, m_placement, m_longestPause);
    releaseEndpoint(endpoint_outcome::Served);
    m_owner->crashWitness().recordAnswered(m_sharedParts, m_owner->now());
    const auto session = m_session.lock();
    if (!session)
        return;
    finish(m_response.status, "answered");
    session->endResponse();
}

/// To be called before the endpoint is released.
void exchange::recordBrokenAttempt()
{
    if (!m_service->engine)
        return;
    if (!isBeingAnswered())
        m_owner->crashWitness().recordBroken(m_endpoint->listed.incarnation, m_sharedParts,
                                             m_owner->now());
    m_owner->checkIsRunning(m_endpoint);
}

} // namespace quetzalcleat::forward
