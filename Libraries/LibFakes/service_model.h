#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace quetzalcleat::fakes {

/// Answer of a plain service.
struct service_answer
{
    std::uint16_t status = 200;
    std::string body;
};

/// Fake of a plain service. It does not deduplicate: every call runs, and the runs are counted by
/// idempotency key, so that a test detects a call that ran twice.
class service_model
{
public:
    service_answer call(std::string_view method, std::string_view path, std::string_view key,
                        std::string_view body);

    std::uint64_t runs(std::string_view key) const;
    const std::map<std::string, std::uint64_t, std::less<>> &runsByKey() const { return m_runs; }
    std::uint64_t totalRuns() const { return m_totalRuns; }

private:
    std::map<std::string, std::uint64_t, std::less<>> m_runs;
    std::uint64_t m_totalRuns = 0;
};

} // namespace quetzalcleat::fakes
