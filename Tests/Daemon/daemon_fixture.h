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

/// The part of a response that a caller has received so far.
struct caller_response
{
    http::response_head head;
    std::string body;
    bool ended = false;
    std::error_code error;
    std::shared_ptr<http::endpoint_transfer> transfer;

    /// Text of all events of a stream. Fails the test if an index is wrong.
    std::string streamedText() const;
    bool endsWithDone() const;
    std::string errorField(const char *field) const; ///< A field of an error in JSON.
    std::string header(std::string_view name) const;
};

/// A daemon on loopback ports with fake engines, a fake service and an in-memory control plane, all
/// on the event loop of the test.
class daemon_fixture : public ::testing::Test
{
protected:
    daemon_fixture();
    ~daemon_fixture() override;

    /// Starts or restarts the daemon with the service and the engines added so far.
    void startDaemon();
    fake_engine &addEngine(bool canResume = false);
    std::string document() const;

    std::shared_ptr<caller_response> send(const std::string &method, const std::string &target,
                                          const std::string &body, http::header_list headers = {});
    std::shared_ptr<caller_response> complete(const std::string &prompt, bool stream,
                                              http::header_list headers = {});
    std::shared_ptr<caller_response> sendAsOperator(const std::string &method,
                                                    const std::string &target,
                                                    const std::string &body = {});
    void await(const caller_response &response);
    void await(const std::function<bool()> &condition);
    void pass(std::chrono::milliseconds time); ///< Runs the event loop for this time.

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
    std::string m_extraRules; ///< TOML appended to the inventory document.
};

} // namespace quetzalcleat::tests
