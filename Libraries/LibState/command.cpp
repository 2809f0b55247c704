#include "LibState/command.h"

#include "LibState/state_error.h"

#include <string_view>
#include <variant>

namespace quetzalcleat::state {

namespace {

/// Checks a command's fields and keeps the first error.
class field_check
{
public:
    void required(std::string_view value, std::size_t maximum)
    {
        if (value.empty() && !m_error)
            m_error = state_error::FieldMissing;
        optional(value, maximum);
    }

    void optional(std::string_view value, std::size_t maximum)
    {
        if (value.size() > maximum && !m_error)
            m_error = state_error::FieldTooLong;
    }

    void expect(bool condition)
    {
        if (!condition && !m_error)
            m_error = state_error::MalformedCommand;
    }

    void operator()(const apply_edit &body)
    {
        required(body.change.editId, maximumNameBytes);
        required(body.change.document, maximumDocumentBytes);
        optional(body.change.author, maximumNameBytes);
        if (body.limits) {
            expect(body.limits->answerBytes <= maximumAnswerBytes);
            expect(body.limits->answerRetention.count() >= 0
                   && body.limits->answerRetention <= std::chrono::hours{24 * 365});
        }
    }

    void operator()(const claim_begin &body)
    {
        attempt(body.request.attempt);
        required(body.request.bodyHash, maximumNameBytes);
    }

    void operator()(const claim_finish &body)
    {
        attempt(body.result.attempt);
        optional(body.result.answer.contentType, maximumNameBytes);
        optional(body.result.answer.body, maximumAnswerBytes);
    }

    void operator()(const claim_abandon &body) { attempt(body.attempt); }
    void operator()(const claim_close &body) { key(body.key); }
    void operator()(const host_register &body) { required(body.host, maximumNameBytes); }

    void operator()(const control_lease_acquire &body)
    {
        required(body.holder, maximumNameBytes);
        expect(body.duration.count() >= 0);
    }

    void operator()(const order_begin &body)
    {
        required(body.orderId, maximumNameBytes);
        required(body.kind, maximumNameBytes);
        optional(body.target, maximumNameBytes);
        optional(body.detail, maximumDetailBytes);
    }

    void operator()(const order_finish &body)
    {
        required(body.orderId, maximumNameBytes);
        expect(body.outcome == order_state::Done || body.outcome == order_state::Undone);
    }

    void operator()(const member_contact &body)
    {
        expect(body.member != 0);
        required(body.name, maximumNameBytes);
        optional(body.address, maximumNameBytes);
        optional(body.dataCentre, maximumNameBytes);
    }

    void operator()(const duty_acquire &body)
    {
        required(body.host, maximumNameBytes);
        expect(body.kind <= duty::Autoscale);
    }

    void operator()(const usage_close &body)
    {
        expect(body.counts.size() <= maximumUsageAccounts && body.undeliveredWindows > 0);
        for (const auto &[account, count] : body.counts)
            required(account, maximumNameBytes);
    }

    void operator()(const usage_delivered & /*body*/) const { }

    void operator()(const capacity_order &body)
    {
        required(body.subject.service, maximumNameBytes);
        optional(body.subject.dataCentre, maximumNameBytes);
    }

    std::error_code error() const { return m_error; }

private:
    void key(const claim_key &value)
    {
        required(value.account, maximumNameBytes);
        required(value.key, maximumKeyBytes);
    }

    void attempt(const claim_attempt &value)
    {
        key(value.key);
        required(value.attemptId, maximumNameBytes);
        required(value.host, maximumNameBytes);
    }

    std::error_code m_error;
};

} // namespace

core::result<void> checkCommand(const command &value)
{
    // Until the year 2100, so that sums of times and retentions stay far from overflow.
    constexpr std::chrono::hours latest{24 * 365 * 130};
    field_check check;
    check.expect(value.time.time_since_epoch().count() >= 0
                 && value.time.time_since_epoch() < latest);
    std::visit(check, value.body);
    if (check.error())
        return check.error();
    return {};
}

} // namespace quetzalcleat::state
