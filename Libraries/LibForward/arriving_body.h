#pragma once

#include "LibCore/time.h"
#include "LibForward/http_head.h"
#include "LibForward/request_body.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace quetzalcleat::forward {

class forwarder;

/// The body of a caller's request while it arrives: whether it is read at all, the memory that it
/// may take, and the time that it has.
class arriving_body
{
public:
    explicit arriving_body(forwarder &owner) : m_owner(owner) { reset(); }

    enum class check_result {
        Continue,
        AnswerWithout, ///< There is no route or no key for it; the answer needs no body.
        RefuseUnconfirmed, ///< Whether there is a route and a key for it is not known.
        RefuseTooLarge,
    };

    void reset();

    /// Takes what the head says. Reads the rest of the body only if the result is `Continue`.
    check_result begin(const http_head &head, core::instant now);
    /// To be called after bytes were appended to bytes().
    check_result check();

    /// Memory to charge before `input` more bytes are appended.
    std::uint64_t wantedBytes(std::size_t input) const;
    std::uint64_t chargedBytes() const { return m_body.charge.bytes(); }
    /// Charges the memory. It has to fit.
    void charge(std::uint64_t bytes);

    /// Whether the time for it is up, or its mean rate is below the least rate.
    bool isTooSlow(core::instant now) const;
    /// Time until isTooSlow() is to be asked next.
    std::chrono::milliseconds timeToCheck(core::instant now) const;
    /// Time in which it was not read does not count.
    void extend(std::chrono::milliseconds time) { m_deadline += time; }

    std::string &bytes() { return m_body.bytes; }
    /// Of the request; empty if it is not known.
    const std::string &account() const { return m_account; }

    /// The whole body, or null if there is none.
    std::shared_ptr<const request_body> take();

private:
    enum class verdict { Read, Unconfirmed, Drop };

    verdict judge(const http_head &head);

    forwarder &m_owner;
    request_body m_body;
    std::string m_account;
    verdict m_verdict = verdict::Read;
    std::size_t m_length = 0; ///< As the head states it; 0 if it states none.
    std::size_t m_droppedBytes = 0;
    core::instant m_start;
    core::instant m_deadline;
};

} // namespace quetzalcleat::forward
