#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace quetzalcleat::policy {

/// How an endpoint is paid for.
enum class capacity_kind { Ordinary, Spot };
constexpr std::array capacityKinds{capacity_kind::Ordinary, capacity_kind::Spot};

/// A value for each kind.
template <typename Value>
struct by_kind
{
    Value &operator[](capacity_kind kind) { return values[static_cast<std::size_t>(kind)]; }
    const Value &operator[](capacity_kind kind) const
    {
        return values[static_cast<std::size_t>(kind)];
    }
    std::array<Value, capacityKinds.size()> values{};
};

/// A data centre in which endpoints can be ordered.
struct data_centre_offer
{
    std::string name;
    std::string region;
    double price = 1; ///< Of an ordinary endpoint.
    std::uint32_t minimum = 0;
    std::uint32_t maximum = 0;
    /// Endpoints that are available where an order was refused; without a value, as many as wanted.
    by_kind<std::optional<std::uint32_t>> available;
    /// Ordered where that is refused, and counted against the maximum although not available.
    by_kind<std::uint32_t> reserved;
};

struct distribution_input
{
    std::vector<data_centre_offer> dataCentres;
    std::map<std::string, std::uint32_t> regions; ///< Endpoints to distribute.
    double spotPrice = 1; ///< As a share of the price of an ordinary endpoint.
    double targetUtilisation = 1;
};

/// Endpoints of one data centre.
struct data_centre_share
{
    std::string name;
    by_kind<std::uint32_t> wanted;
    bool hasSubstitutes = false; ///< For endpoints that are not available elsewhere.
};

struct distribution
{
    std::vector<data_centre_share> dataCentres; ///< In the order of the input.
    std::uint32_t unavailable = 0; ///< Endpoints that are not to be had anywhere.
};

/// Distributes endpoints over data centres and kinds. Inside a region, cheaper data centres get
/// more. All endpoints are spot endpoints but for a base, which is large enough that the demand
/// does not exceed the rest when the data centre with the most spot endpoints loses all of them.
/// What is not available in a data centre is taken from the others of the region, then from other
/// regions, then as ordinary endpoints. The same input gives the same result, and one endpoint more
/// changes few numbers.
distribution distributeCapacity(const distribution_input &input);

} // namespace quetzalcleat::policy
