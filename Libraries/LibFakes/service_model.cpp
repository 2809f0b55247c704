#include "LibFakes/service_model.h"

#include "LibCore/hash.h"

namespace quetzalcleat::fakes {

service_answer service_model::call(std::string_view method, std::string_view path,
                                   std::string_view key, std::string_view body)
{
    ++m_totalRuns;
    if (!key.empty())
        ++m_runs[std::string(key)];
    service_answer answer;
    answer.body = "{\"method\":\"" + std::string(method) + "\",\"path_hash\":\""
        + core::sha256Hex(path) + "\",\"body_hash\":\"" + core::sha256Hex(body)
        + "\",\"run\":" + std::to_string(m_totalRuns) + "}";
    return answer;
}

std::uint64_t service_model::runs(std::string_view key) const
{
    const auto entry = m_runs.find(key);
    return entry == m_runs.end() ? 0 : entry->second;
}

} // namespace quetzalcleat::fakes
