#pragma once

#include "fake_control_plane.h"
#include "fake_engine.h"
#include "fake_server.h"

#include "quetzalcleatd/entry.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

namespace quetzalcleat::tests {

/// What a caller of the daemon has received so far.
struct caller_answer
{
    http::response_head head;
    std::string body;
    bool ended = false;
    std::error_code error;
    std::shared_ptr<http::endpoint_transfer> transfer;

    /// Text of all events of a stream. Adds a failure to the test if an index is wrong.
    std::string streamedText() const;
    bool hasDone() const;
    std::string errorField(const char *field) const; ///< Of a whole error answer.
    std::string header(std::string_view name) const;
};

/// A daemon on loopback ports with fake engines, a fake service and a control plane in memory, all
/// on the event loop of the test.
class daemon_fixture : public ::testing::Test
{
protected:
    daemon_fixture();
    ~daemon_fixture() override;

    /// Starts the daemon with engines and the service that exist by now.
    void startDaemon();
    fake_engine &addEngine(bool canResume = false);
    std::string document() const;

    std::shared_ptr<caller_answer> send(const std::string &method, const std::string &target,
                                        const std::string &body, http::header_list headers = {});
    std::shared_ptr<caller_answer> complete(const std::string &prompt, bool stream,
                                            http::header_list headers = {});
    std::shared_ptr<caller_answer> operate(const std::string &method, const std::string &target,
                                           const std::string &body = {});
    void await(const caller_answer &answer);
    void await(const std::function<bool()> &condition);

    asio::io_context m_context;
    core::counter_registry m_counters;
    fake_control_plane m_control{m_context};
    std::vector<std::unique_ptr<fake_engine>> m_engines;
    std::vector<bool> m_canResume;
    std::vector<http::caller_request> m_serviceCalls;
    fake_connection::request_handler m_onServiceCall;
    fake_server m_service;
    daemon::entry_options m_options;
    std::unique_ptr<daemon::entry<fake_control_plane>> m_daemon;
    http::endpoint_client m_client{m_context};
    std::string m_extraRules; ///< TOML after the endpoints.
};

} // namespace quetzalcleat::tests
