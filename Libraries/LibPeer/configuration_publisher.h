#pragma once

#include "LibCore/time.h"
#include "LibPeer/configuration_feed.h"
#include "LibPeer/messages.h"
#include "LibPeer/peer_network.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace quetzalcleat::peer {

/// Whether a control host leads the replicated log or follows its leader, and who leads.
struct confirmation_status
{
    bool confirmed = false; ///< Leads with a valid lease, or follows a leader.
    std::string leader; ///< Host name; empty if unknown.
};

/// Passes the configuration of this process on to the hosts that subscribe to it, at once when it
/// changes and as an answer to each subscription. Control hosts also collect the revisions that
/// their subscribers report.
///
/// A revision thus spreads as a tree: the log carries it to the control hosts, they push it to the
/// entry hosts, and in a data centre that is cut off the entry hosts push it to each other.
class configuration_publisher : public std::enable_shared_from_this<configuration_publisher>
{
public:
    static std::shared_ptr<configuration_publisher>
    create(std::shared_ptr<peer_network> network, std::shared_ptr<configuration_feed> feed);

    /// Set on control hosts only; without it nothing is confirmed.
    void setConfirmationStatus(std::function<confirmation_status()> status)
    {
        m_confirmationStatus = std::move(status);
    }

    void start();
    void stop();

private:
    struct subscriber
    {
        std::uint64_t revision = 0;
        bool push = false;
        core::instant lastSeen;
    };

    struct reported_host
    {
        host_report report;
        core::instant receivedAt;
    };

    configuration_publisher(std::shared_ptr<peer_network> network,
                            std::shared_ptr<configuration_feed> feed);

    void receive(const std::string &host, const message &content);
    void handleSubscribe(const std::string &host, const subscribe &request);
    void handleReport(const status_report &report);
    void push();
    void sendUpdate(const std::string &host, bool withDocument);
    void startTimer();
    void reportToControlHosts();
    status_report knownHosts() const;
    status_report ownSubscribers() const;

    std::shared_ptr<peer_network> m_network;
    std::shared_ptr<configuration_feed> m_feed;
    std::function<confirmation_status()> m_confirmationStatus;
    asio::steady_timer m_timer;
    std::map<std::string, subscriber> m_subscribers;
    std::map<std::string, reported_host> m_reported; ///< From other control hosts.
    std::vector<host_report> m_lastReport; ///< Sent to the other control hosts, without ages.
    core::instant m_lastReportAt;
    bool m_stopped = false;
};

} // namespace quetzalcleat::peer
