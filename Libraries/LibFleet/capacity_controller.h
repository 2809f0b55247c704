#pragma once

#include "LibCore/counter_registry.h"
#include "LibCore/result.h"
#include "LibFleet/capacity_sources.h"
#include "LibFleet/deployment_dialect.h"
#include "LibForward/event_log.h"
#include "LibPolicy/capacity_planner.h"

#include <chrono>
#include <concepts>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace quetzalcleat::fleet {

/// Status of the answer, or the error that kept the call from getting one.
using duty_call_handler = std::function<void(core::result<int>)>;

/// Makes the calls of a duty while this host holds it.
template <typename Runner, typename Duty>
concept duty_sender = requires(Runner &runner, const Duty &duty, const duty_request &request,
                               duty_call_handler answered)
{
    {
        runner.mayAct(duty)
        } -> std::convertible_to<bool>;
    {
        runner.generation(duty)
        } -> std::convertible_to<std::uint64_t>;
    runner.send(duty, request, answered);
};

/// Orders the endpoints of all services that have an autoscale profile, on the control host that
/// holds the duty. Numbers are absolute, so that a repeated order is harmless; each subject
/// (service, data centre, kind) has at most one call in flight.
template <deployment_dialect Dialect, typename Runner, auto duty>
requires duty_sender<Runner, decltype(duty)>
class capacity_controller
    : public std::enable_shared_from_this<capacity_controller<Dialect, Runner, duty>>
{
public:
    static constexpr std::chrono::milliseconds interval{500};
    /// Subjects that are planned and kept; further services are left alone.
    static constexpr std::size_t maximumSubjects = 1024;

    struct handlers
    {
        std::function<std::vector<peer::endpoint_load>()> loads; ///< Sums over all hosts.
        /// The numbers that any holder has ordered, as agreed in the log.
        std::function<std::vector<endpoint_order>()> agreedOrders;
        /// The platform has accepted an order. To be agreed in the log.
        std::function<void(const endpoint_order &, std::uint64_t generation)> accepted;
    };

    capacity_controller(Runner &runner, capacity_sources &sources, core::counter_registry &counters,
                        forward::event_log &log, handlers handlers)
        : m_runner(runner), m_sources(sources), m_counters(counters), m_log(log),
          m_handlers(std::move(handlers))
    {
    }

    /// Of the configuration in force.
    void setServices(const std::vector<forward::service> &services)
    {
        m_services.clear();
        for (const auto &service : services) {
            if (service.autoscale)
                m_services[service.name] = service;
        }
        std::erase_if(m_planners,
                      [this](const auto &entry) { return !m_services.contains(entry.first); });
        std::erase_if(m_decisions,
                      [this](const auto &entry) { return !m_services.contains(entry.first); });
    }

    /// To be called several times a second; plans once in an interval, and soon after a refusal.
    void update(core::instant now)
    {
        m_now = now;
        m_isActing = m_runner.mayAct(duty);
        if (!m_isActing)
            return;
        takeOver();
        if (m_plannedAt && now - *m_plannedAt < interval && !m_wasRefused)
            return;
        m_plannedAt = now;
        m_wasRefused = false;
        if (m_handlers.loads)
            m_sources.setLoads(m_handlers.loads());
        std::size_t subjects = 0;
        for (const auto &[name, service] : m_services) {
            const auto input = m_sources.inputFor(service, now);
            subjects += input.dataCentres.size() * policy::capacityKinds.size();
            if (subjects > maximumSubjects) {
                m_log.write("capacity_skipped",
                            {{"service", name}, {"subjects", std::to_string(subjects)}});
                return;
            }
            auto &decisions = m_decisions[name];
            decisions = m_planners[name].plan(input, now);
            for (const auto &decision : decisions) {
                publish(name, decision);
                if (decision.isDue)
                    send(name, decision);
            }
        }
    }

    /// One line for each subject; empty on hosts that do not hold the duty.
    std::string dump() const
    {
        std::string text;
        if (!m_isActing)
            return text;
        for (const auto &[service, decisions] : m_decisions) {
            for (const auto &decision : decisions)
                text += "capacity service=" + service + " data_centre=" + decision.dataCentre
                    + " kind=" + std::string(toString(decision.kind))
                    + " wanted=" + std::to_string(decision.wanted)
                    + " desired=" + std::to_string(decision.desired) + " present="
                    + std::to_string(decision.serving) + " ordered=" + orderedText(decision)
                    + " reason=" + std::string(toString(decision.reason)) + '\n';
        }
        return text;
    }

private:
    using subject_key = std::tuple<std::string, std::string, policy::capacity_kind>;

    static std::string orderedText(const policy::capacity_decision &decision)
    {
        return decision.ordered ? std::to_string(*decision.ordered) : "-";
    }

    /// Begins from the agreed orders when this host has become the holder. While the generation is
    /// the same, nobody else has ordered anything.
    void takeOver()
    {
        const std::uint64_t generation = m_runner.generation(duty);
        if (m_generation == generation)
            return;
        m_generation = generation;
        m_planners.clear();
        m_decisions.clear();
        m_inFlight.clear();
        m_plannedAt.reset();
        const auto agreed
            = m_handlers.agreedOrders ? m_handlers.agreedOrders() : std::vector<endpoint_order>();
        for (const auto &order : agreed)
            m_planners[order.service].restore(order.dataCentre, kindOf(order), order.count);
        m_log.write("capacity_taken_over",
                    {{"generation", std::to_string(generation)},
                     {"agreed_orders", std::to_string(agreed.size())}});
    }

    static policy::capacity_kind kindOf(const endpoint_order &order)
    {
        return order.isSpot ? policy::capacity_kind::Spot : policy::capacity_kind::Ordinary;
    }

    void publish(const std::string &service, const policy::capacity_decision &decision)
    {
        const auto labels = "service=\"" + service + "\",data_centre=\"" + decision.dataCentre
            + "\",kind=\"" + std::string(toString(decision.kind)) + '"';
        m_counters.gauge("capacity_wanted", labels) = decision.wanted;
        m_counters.gauge("capacity_present", labels) = decision.serving;
        m_counters.gauge("capacity_ordered", labels) = decision.ordered.value_or(0);
    }

    void send(const std::string &service, const policy::capacity_decision &decision)
    {
        const endpoint_order order{service, decision.dataCentre,
                                   decision.kind == policy::capacity_kind::Spot, decision.desired};
        if (!m_inFlight.insert({service, decision.dataCentre, decision.kind}).second)
            return;
        m_log.write("capacity_order",
                    {{"service", service},
                     {"data_centre", decision.dataCentre},
                     {"kind", std::string(toString(decision.kind))},
                     {"desired", std::to_string(decision.desired)},
                     {"ordered", orderedText(decision)},
                     {"present", std::to_string(decision.serving)},
                     {"reason", std::string(toString(decision.reason))},
                     {"generation", std::to_string(*m_generation)}});
        m_runner.send(duty, Dialect::orderCall(order),
                      [weak = this->weak_from_this(), order,
                       generation = *m_generation](const core::result<int> &answer) {
                          if (const auto self = weak.lock())
                              self->handleAnswer(order, generation, answer);
                      });
    }

    void handleAnswer(const endpoint_order &order, std::uint64_t generation,
                      const core::result<int> &answer)
    {
        constexpr int noneAvailable = 409;
        const bool isAccepted = answer && answer.value() / 100 == 2;
        const bool isRefused = answer && answer.value() == noneAvailable;
        const char *outcome = "failed";
        if (isAccepted)
            outcome = "accepted";
        else if (isRefused)
            outcome = "none_available";
        ++m_counters.counter("capacity_orders_total", std::string("outcome=\"") + outcome + '"');
        if (!isAccepted)
            m_log.write("capacity_order_failed",
                        {{"service", order.service},
                         {"data_centre", order.dataCentre},
                         {"kind", std::string(toString(kindOf(order)))},
                         {"desired", std::to_string(order.count)},
                         {"outcome", outcome},
                         {"status", answer ? std::to_string(answer.value()) : "-"},
                         {"error", answer ? "-" : answer.error().message()}});
        if (generation != m_generation)
            return;
        m_inFlight.erase({order.service, order.dataCentre, kindOf(order)});
        const auto planner = m_planners.find(order.service);
        if (planner == m_planners.end())
            return;
        if (isAccepted) {
            planner->second.recordAcknowledged(order.dataCentre, kindOf(order), order.count, m_now);
            if (m_handlers.accepted)
                m_handlers.accepted(order, generation);
            return;
        }
        m_wasRefused = m_wasRefused || isRefused;
        planner->second.recordRefused(order.dataCentre, kindOf(order),
                                      isRefused ? policy::order_refusal::NoneAvailable
                                                : policy::order_refusal::Failed,
                                      m_now);
    }

    Runner &m_runner;
    capacity_sources &m_sources;
    core::counter_registry &m_counters;
    forward::event_log &m_log;
    handlers m_handlers;
    std::map<std::string, forward::service> m_services;
    std::map<std::string, policy::capacity_planner> m_planners; ///< By service.
    std::map<std::string, std::vector<policy::capacity_decision>>
        m_decisions; ///< Newest, for dump().
    std::set<subject_key> m_inFlight;
    std::optional<std::uint64_t> m_generation; ///< Under which this host orders.
    core::instant m_now; ///< Of the last update().
    std::optional<core::instant> m_plannedAt;
    bool m_isActing = false;
    bool m_wasRefused = false; ///< Since the last plan.
};

} // namespace quetzalcleat::fleet
