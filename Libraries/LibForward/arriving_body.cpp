#include "LibForward/arriving_body.h"

#include "LibForward/forwarder.h"
#include "LibForward/request_admission.h"

#include <algorithm>
#include <utility>

namespace quetzalcleat::forward {

namespace {

/// Between two checks of the rate.
constexpr std::chrono::milliseconds checkInterval{1000};

} // namespace

void arriving_body::reset()
{
    // A plain assignment would keep the buffer, whose memory is no longer charged.
    std::exchange(m_body, {{}, {m_owner.protection().budget(), policy::memory_kind::Body}});
    m_account.clear();
    m_verdict = verdict::Read;
    m_length = 0;
    m_droppedBytes = 0;
}

arriving_body::check_result arriving_body::begin(const http_head &head, core::instant now)
{
    const auto limits = m_owner.callerLimits();
    const auto &protection = m_owner.protection();
    m_length = static_cast<std::size_t>(parseNumber(head.value("Content-Length")).value_or(0));
    m_start = now;
    m_deadline = now + limits.idleTimeout;
    m_verdict = judge(head);
    if (m_verdict == verdict::Unconfirmed
        && (m_length > protection.limits().unconfirmedBodyBytes || protection.isTight()))
        return check_result::RefuseUnconfirmed;
    // Spares the caller the transmission of a body that is not read.
    const bool awaitsConsent = equalsIgnoringCase(head.value("Expect"), "100-continue");
    if (m_verdict == verdict::Drop
        && (awaitsConsent || m_length > protection.limits().droppedBodyBytes)) {
        (void)check();
        return check_result::AnswerWithout;
    }
    return check_result::Continue;
}

/// Decides by the head. Only a host with a confirmed configuration knows that there is no route or
/// key.
arriving_body::verdict arriving_body::judge(const http_head &head)
{
    const auto &routes = m_owner.routes();
    const bool isConfirmed = m_owner.hasConfirmedConfiguration();
    const auto refusal = isConfirmed ? verdict::Drop : verdict::Unconfirmed;
    if (!routes)
        return verdict::Unconfirmed;
    const request_admission admission(head, m_owner.options().names);
    const auto *const route = admission.findRoute(*routes);
    if (route == nullptr)
        return refusal;
    if (!routes->content().requiresKeys || route->isPublic)
        return verdict::Read;
    const auto *const account = admission.findAccount(*routes);
    if (account == nullptr)
        return refusal;
    m_account = account->name;
    return isConfirmed ? verdict::Read : verdict::Unconfirmed;
}

arriving_body::check_result arriving_body::check()
{
    const auto &limits = m_owner.protection().limits();
    if (m_verdict == verdict::Drop) {
        m_droppedBytes += std::exchange(m_body.bytes, {}).size();
        m_body.isDropped = true;
        return m_droppedBytes <= limits.droppedBodyBytes ? check_result::Continue
                                                         : check_result::AnswerWithout;
    }
    if (m_body.bytes.size() > m_owner.callerLimits().bodyBytes)
        return check_result::RefuseTooLarge;
    if (m_verdict == verdict::Unconfirmed && m_body.bytes.size() > limits.unconfirmedBodyBytes)
        return check_result::RefuseUnconfirmed;
    return check_result::Continue;
}

std::uint64_t arriving_body::wantedBytes(std::size_t input) const
{
    if (m_verdict == verdict::Drop)
        return 0;
    // Includes the part that the kernel can hold before it is read.
    const auto inKernel = m_owner.protection().limits().receiveMemory();
    const auto held = m_body.bytes.size() + input;
    const auto rest = m_length == 0 ? inKernel : m_length - std::min(m_length, held);
    return held + std::min(rest, inKernel);
}

void arriving_body::charge(std::uint64_t bytes)
{
    m_body.charge.resize(bytes);
    // Not touched before it is used, so it takes no memory before.
    if (m_length > m_owner.protection().limits().receiveMemory()
        && m_body.bytes.capacity() < m_length)
        m_body.bytes.reserve(m_length);
}

bool arriving_body::isTooSlow(core::instant now) const
{
    if (now >= m_deadline)
        return true;
    const auto &limits = m_owner.protection().limits();
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_start);
    const bool isExempt = m_length != 0 && m_length <= limits.rateExemptBodyBytes;
    return !isExempt && elapsed >= limits.bodyRateGrace
        && (m_body.bytes.size() + m_droppedBytes) * 1000
        < limits.bodyBytesPerSecond * static_cast<std::size_t>(elapsed.count());
}

std::chrono::milliseconds arriving_body::timeToCheck(core::instant now) const
{
    return std::min(std::chrono::ceil<std::chrono::milliseconds>(m_deadline - now), checkInterval);
}

std::shared_ptr<const request_body> arriving_body::take()
{
    if (m_body.bytes.empty() && !m_body.isDropped)
        return nullptr;
    m_body.charge.resize(m_body.bytes.size());
    return std::make_shared<const request_body>(std::exchange(m_body, {}));
}

} // namespace quetzalcleat::forward
