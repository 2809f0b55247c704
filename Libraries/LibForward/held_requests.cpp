#include "LibForward/held_requests.h"

#include "LibForward/exchange.h"

#include <algorithm>
#include <utility>

namespace quetzalcleat::forward {

void held_requests::add(const std::shared_ptr<exchange> &request, core::instant next)
{
    m_next = m_requests.empty() ? next : std::min(m_next, next);
    m_requests.push_back(request);
    if (!m_isResuming)
        startTimer();
}

void held_requests::startTimer()
{
    if (m_stopped || m_requests.empty())
        return;
    m_timer.expires_at(m_next);
    m_timer.async_wait([this](std::error_code error) {
        if (!error && !m_stopped)
            resume();
    });
}

void held_requests::resume()
{
    if (m_isResuming || m_requests.empty())
        return;
    m_isResuming = true;
    std::vector<std::shared_ptr<exchange>> requests;
    for (const auto &weak : std::exchange(m_requests, {})) {
        if (auto request = weak.lock())
            requests.push_back(std::move(request));
    }
    std::stable_sort(requests.begin(), requests.end(),
                     [](const auto &left, const auto &right) { return left->isBefore(*right); });
    for (const auto &request : requests)
        request->resumeHeld();
    m_isResuming = false;
    startTimer();
}

void held_requests::stop()
{
    m_stopped = true;
    m_timer.cancel();
    m_requests.clear();
}

} // namespace quetzalcleat::forward
