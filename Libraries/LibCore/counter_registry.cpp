#include "LibCore/counter_registry.h"

#include <sstream>

namespace quetzalcleat::core {

namespace {

template <typename Families>
auto &findOrCreate(Families &families, std::string_view name, std::string_view labels)
{
    auto family = families.find(name);
    if (family == families.end())
        family = families.try_emplace(std::string(name)).first;
    return family->second[std::string(labels)];
}

template <typename Families>
void writeFamilies(std::ostream &stream, const Families &families, std::string_view type)
{
    for (const auto &[name, series] : families) {
        stream << "# TYPE " << name << ' ' << type << '\n';
        for (const auto &[labels, value] : series) {
            stream << name;
            if (!labels.empty())
                stream << '{' << labels << '}';
            stream << ' ' << value << '\n';
        }
    }
}

} // namespace

std::uint64_t &counter_registry::counter(std::string_view name, std::string_view labels)
{
    return findOrCreate(m_counters, name, labels);
}

double &counter_registry::gauge(std::string_view name, std::string_view labels)
{
    return findOrCreate(m_gauges, name, labels);
}

std::string counter_registry::text() const
{
    std::ostringstream stream;
    writeFamilies(stream, m_counters, "counter");
    writeFamilies(stream, m_gauges, "gauge");
    return stream.str();
}

} // namespace quetzalcleat::core
