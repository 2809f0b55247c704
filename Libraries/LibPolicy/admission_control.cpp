#include "LibPolicy/admission_control.h"

#include "LibCore/hash.h"
#include "LibPolicy/notice_control.h"
#include "LibPolicy/policy_error.h"

#include <algorithm>

namespace quetzalcleat::policy {

namespace {

/// Until a pool whose endpoints are all held off takes requests, spread by request id so that the
/// callers do not return at the same time.
std::chrono::milliseconds heldOffDelay(const core_tables &tables, const request_record &record,
                                       core::instant now)
{
    constexpr std::uint64_t returnSpanMilliseconds = 1000;
    const auto end = notice_control::heldOffUntil(tables, tables.pools[record.pool], now);
    if (!end)
        return std::chrono::milliseconds(0);
    const auto spread = core::hash64(record.requestId) % returnSpanMilliseconds;
    return std::chrono::ceil<std::chrono::milliseconds>(*end - now)
        + std::chrono::milliseconds(static_cast<std::int64_t>(spread));
}

} // namespace

core::result<void> admission_control::check(const core_tables &tables, const request_record &record,
                                            core::instant now)
{
    const auto &accountLimits = tables.accounts[record.accountIndex].limits;
    const auto &classLimits = tables.classes[record.classIndex].limits;
    if (!accountLimits.requests().allows(1, now))
        return policy_error::AccountRequestLimit;
    if (!accountLimits.tokens().allows(record.work(), now))
        return policy_error::AccountTokenLimit;
    if (!classLimits.requests().allows(1, now))
        return policy_error::ClassRequestLimit;
    if (!classLimits.tokens().allows(record.work(), now))
        return policy_error::ClassTokenLimit;
    const auto &pool = tables.pools[record.pool];
    const auto wait = expectedWait(tables, pool, tables.classes[record.classIndex].rank);
    const std::chrono::duration<double, std::milli> service(pool.serviceTime.milliseconds);
    if (wait.count() > 0 && now + wait + service > record.deadline)
        return policy_error::DeadlineUnreachable;
    return {};
}

void admission_control::charge(core_tables &tables, const request_record &record, core::instant now)
{
    auto &accountLimits = tables.accounts[record.accountIndex].limits;
    auto &classLimits = tables.classes[record.classIndex].limits;
    accountLimits.requests().take(1, now);
    classLimits.requests().take(1, now);
    accountLimits.tokens().take(record.work(), now);
    classLimits.tokens().take(record.work(), now);
}

void admission_control::correctCharge(core_tables &tables, const request_record &record,
                                      core::instant now)
{
    const double excess = static_cast<double>(record.deliveredTokens) - record.expectedOutput;
    tables.accounts[record.accountIndex].limits.tokens().take(excess, now);
    tables.classes[record.classIndex].limits.tokens().take(excess, now);
    auto &queues = tables.pools[record.pool].queues;
    if (record.classIndex < queues.size())
        queues[record.classIndex].waiting.charge(record.accountIndex, excess);
}

std::chrono::milliseconds admission_control::expectedWait(const core_tables &tables,
                                                          const pool_record &pool,
                                                          std::uint32_t rank)
{
    constexpr std::uint32_t minimumSamples = 8;
    if (pool.serviceTime.samples < minimumSamples || pool.queued == 0)
        return std::chrono::milliseconds(0);
    double requestsAhead = 0;
    for (std::uint32_t index = 0; index < pool.queues.size(); ++index)
        if (tables.classes[index].rank <= rank)
            requestsAhead += pool.queues[index].waiting.size();
    const double milliseconds
        = requestsAhead * pool.serviceTime.milliseconds / std::max(1.0, pool.usableSlots);
    return std::chrono::milliseconds(static_cast<std::int64_t>(milliseconds));
}

std::chrono::milliseconds admission_control::retryAfter(const core_tables &tables,
                                                        const request_record &record,
                                                        core::instant now)
{
    constexpr std::chrono::milliseconds minimum(1000);
    constexpr std::chrono::milliseconds maximum(60000);
    const auto &accountLimits = tables.accounts[record.accountIndex].limits;
    const auto &classLimits = tables.classes[record.classIndex].limits;
    const auto wait
        = expectedWait(tables, tables.pools[record.pool], tables.classes[record.classIndex].rank);
    const auto delay = std::max({wait, accountLimits.requests().timeUntilAllowed(1, now),
                                 classLimits.requests().timeUntilAllowed(1, now),
                                 accountLimits.tokens().timeUntilAllowed(record.work(), now),
                                 classLimits.tokens().timeUntilAllowed(record.work(), now)});
    return std::clamp(std::max(delay, heldOffDelay(tables, record, now)), minimum, maximum);
}

} // namespace quetzalcleat::policy
