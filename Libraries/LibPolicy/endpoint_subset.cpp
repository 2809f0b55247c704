#include "LibPolicy/endpoint_subset.h"

#include "LibCore/hash.h"
#include "LibPolicy/random_source.h"

#include <algorithm>

namespace quetzalcleat::policy {

void selectSubset(core_tables &tables, pool_record &pool, std::vector<std::uint32_t> serving)
{
    const auto &options = tables.options;
    const std::uint64_t hostHash = core::hash64(tables.hostName);
    const auto isLocal = [&tables](std::uint32_t index) {
        return tables.endpoints[index].distance == endpoint_distance::SameDataCentre;
    };
    std::ranges::sort(serving, [&](std::uint32_t left, std::uint32_t right) {
        const auto &first = tables.endpoints[left];
        const auto &second = tables.endpoints[right];
        if (first.distance != second.distance)
            return first.distance < second.distance;
        return mixBits(hostHash ^ first.nameHash) < mixBits(hostHash ^ second.nameHash);
    });
    const auto servingCount = static_cast<std::uint32_t>(serving.size());
    const auto localCount = static_cast<std::uint32_t>(std::ranges::count_if(serving, isLocal));
    pool.endpoints.clear();
    pool.localEndpoints = 0;
    for (const std::uint32_t index : serving) {
        const bool isLocalEndpoint = isLocal(index);
        if (isLocalEndpoint && pool.localEndpoints == options.localSubsetSize
            && servingCount > options.subsetSize)
            continue;
        if (pool.endpoints.size() == options.subsetSize)
            break;
        pool.endpoints.push_back(index);
        pool.localEndpoints += isLocalEndpoint ? 1 : 0;
    }
    const bool hasNoLocal = localCount == 0;
    if (hasNoLocal)
        pool.localEndpoints = static_cast<std::uint32_t>(pool.endpoints.size());
    const double used = pool.localEndpoints;
    const double available = hasNoLocal ? servingCount : localCount;
    const double hosts = hasNoLocal ? tables.hosts : tables.hostsInDataCentre;
    pool.hostsPerLocalEndpoint = available > 0 ? std::max(1.0, hosts * used / available) : 1;
    pool.served = servingCount > 0;
}

} // namespace quetzalcleat::policy
