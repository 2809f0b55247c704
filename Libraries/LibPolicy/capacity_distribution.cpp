#include "LibPolicy/capacity_distribution.h"

#include <algorithm>
#include <cmath>

namespace quetzalcleat::policy {

namespace {

/// Share of ordinary endpoints at least, for the loss of spot endpoints in several data centres.
constexpr double minimumBaseShare = 0.1;

class distributor
{
public:
    explicit distributor(const distribution_input &input) : m_input(input)
    {
        for (const auto &offer : input.dataCentres)
            m_result.dataCentres.push_back({offer.name, {}, false});
    }

    distribution run()
    {
        const auto cheapest = m_input.spotPrice < 1 ? capacity_kind::Spot : capacity_kind::Ordinary;
        std::map<std::string, std::uint32_t> missing;
        for (const auto &[region, count] : m_input.regions) {
            m_total += count;
            missing[region] = placeInRegion(region, count, cheapest);
        }
        useTwoDataCentres(cheapest);
        // Elsewhere only after each region has its own.
        for (const auto &[region, count] : missing)
            placeAnywhere(region, count, cheapest);
        if (cheapest == capacity_kind::Spot)
            keepBase();
        return m_result;
    }

private:
    std::uint32_t &wanted(std::size_t index, capacity_kind kind)
    {
        return m_result.dataCentres[index].wanted[kind];
    }

    std::uint32_t used(std::size_t index, capacity_kind kind)
    {
        return std::max(wanted(index, kind), m_input.dataCentres[index].reserved[kind]);
    }

    bool hasRoom(std::size_t index, capacity_kind kind)
    {
        const auto &offer = m_input.dataCentres[index];
        const auto &available = offer.available[kind];
        if (available && wanted(index, kind) >= *available)
            return false;
        std::uint32_t total = 0;
        for (const auto each : capacityKinds)
            total += each == kind ? std::max(wanted(index, kind) + 1, offer.reserved[kind])
                                  : used(index, each);
        return total <= offer.maximum;
    }

    /// The data centre that gets the next endpoint: in proportion to the inverse square of its
    /// price, by the method of d'Hondt, which never takes an endpoint away when there are more.
    /// The square sends about 70% to the cheaper of two data centres with prices 0.8 and 1.25, so
    /// that the other keeps enough to be of use when one of them fails.
    std::optional<std::size_t> next(const std::optional<std::string> &region, capacity_kind kind)
    {
        std::optional<std::size_t> best;
        double bestWeight = 0;
        for (std::size_t index = 0; index < m_input.dataCentres.size(); ++index) {
            const auto &offer = m_input.dataCentres[index];
            if ((region && offer.region != *region) || !hasRoom(index, kind))
                continue;
            const auto present
                = wanted(index, capacity_kind::Ordinary) + wanted(index, capacity_kind::Spot);
            const double price = std::max(offer.price, 0.01);
            double weight = 1 / (price * price * (present + 1));
            if (present < offer.minimum)
                weight += 1e9; // Minimum numbers come first.
            if (!best || weight > bestWeight) {
                best = index;
                bestWeight = weight;
            }
        }
        return best;
    }

    /// Returns how many have no place.
    std::uint32_t placeInRegion(const std::string &region, std::uint32_t count, capacity_kind kind)
    {
        for (; count > 0; --count) {
            const auto index = next(region, kind);
            if (!index)
                break;
            ++wanted(*index, kind);
        }
        return count;
    }

    void placeAnywhere(const std::string &region, std::uint32_t count, capacity_kind cheapest)
    {
        for (; count > 0; --count) {
            auto kind = cheapest;
            auto index = next({}, kind);
            if (!index) {
                kind = capacity_kind::Ordinary;
                index = next(region, kind);
            }
            if (!index)
                index = next({}, kind);
            if (!index) {
                m_result.unavailable += count;
                return;
            }
            ++wanted(*index, kind);
            m_result.dataCentres[*index].hasSubstitutes = true;
        }
    }

    /// Moves one endpoint if all are in one of several data centres.
    void useTwoDataCentres(capacity_kind kind)
    {
        std::vector<std::size_t> users;
        std::optional<std::size_t> other;
        for (std::size_t index = 0; index < m_input.dataCentres.size(); ++index) {
            if (wanted(index, kind) > 0)
                users.push_back(index);
            else if (!other && hasRoom(index, kind))
                other = index;
        }
        if (users.size() != 1 || !other || wanted(users.front(), kind) < 2)
            return;
        --wanted(users.front(), kind);
        ++wanted(*other, kind);
    }

    /// Replaces spot endpoints by ordinary ones until the base is large enough.
    void keepBase()
    {
        const auto minimum = static_cast<std::uint32_t>(std::ceil(minimumBaseShare * m_total));
        const double demand = m_input.targetUtilisation * m_total;
        while (true) {
            std::uint32_t ordinary = 0;
            std::uint32_t spot = 0;
            std::uint32_t largest = 0;
            for (const auto &share : m_result.dataCentres) {
                ordinary += share.wanted[capacity_kind::Ordinary];
                spot += share.wanted[capacity_kind::Spot];
                largest = std::max(largest, share.wanted[capacity_kind::Spot]);
            }
            if (spot == 0 || (ordinary >= minimum && ordinary + spot - largest >= demand))
                return;
            const auto index = replaceable();
            if (!index)
                return;
            --wanted(*index, capacity_kind::Spot);
            ++wanted(*index, capacity_kind::Ordinary);
        }
    }

    /// Where the most spot endpoints are, since only there does a replacement reduce what can be
    /// lost at once; of equal ones the cheapest.
    std::optional<std::size_t> replaceable()
    {
        std::optional<std::size_t> best;
        for (std::size_t index = 0; index < m_input.dataCentres.size(); ++index) {
            const auto &offer = m_input.dataCentres[index];
            const auto &available = offer.available[capacity_kind::Ordinary];
            const auto spot = wanted(index, capacity_kind::Spot);
            if (spot == 0 || (available && wanted(index, capacity_kind::Ordinary) >= *available))
                continue;
            if (!best || spot > wanted(*best, capacity_kind::Spot)
                || (spot == wanted(*best, capacity_kind::Spot)
                    && offer.price < m_input.dataCentres[*best].price))
                best = index;
        }
        return best;
    }

    const distribution_input &m_input;
    distribution m_result;
    std::uint32_t m_total = 0;
};

} // namespace

distribution distributeCapacity(const distribution_input &input)
{
    return distributor(input).run();
}

} // namespace quetzalcleat::policy
