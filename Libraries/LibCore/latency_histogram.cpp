#include "LibCore/latency_histogram.h"

namespace quetzalcleat::core {

latency_histogram::latency_histogram(counter_registry &counters, std::string_view name,
                                     std::string_view labels)
{
    const std::string base(name);
    const auto prefix = labels.empty() ? std::string() : std::string(labels) + ',';
    for (std::size_t index = 0; index < bounds.size(); ++index)
        m_buckets[index] = &counters.counter(
            base + "_bucket", prefix + "le=\"" + std::to_string(bounds[index]) + '"');
    m_infiniteBucket = &counters.counter(base + "_bucket", prefix + "le=\"+Inf\"");
    m_count = &counters.counter(base + "_count", labels);
    m_sum = &counters.counter(base + "_sum", labels);
}

void latency_histogram::observe(std::chrono::milliseconds value)
{
    for (std::size_t index = 0; index < bounds.size(); ++index) {
        if (value.count() <= bounds[index])
            ++*m_buckets[index];
    }
    ++*m_infiniteBucket;
    ++*m_count;
    *m_sum += static_cast<std::uint64_t>(value.count());
}

} // namespace quetzalcleat::core
