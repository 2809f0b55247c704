#pragma once

#include "LibFakes/service_model.h"
#include "LibHttp/caller_server.h"
#include "endpoint_signals.h"

#include <asio/io_context.hpp>
#include <chrono>
#include <memory>

namespace quetzalcleat::fakes {

/// HTTP server for a service_model. `GET /runs` returns the runs by idempotency key, `POST /faults`
/// sets the signals; every other request runs as a call.
class service_server : public std::enable_shared_from_this<service_server>
{
public:
    service_server(asio::io_context &context, core::socket_address address,
                   std::chrono::milliseconds runTime);

    core::result<void> open() { return m_server.open(); }
    std::uint16_t port() const { return m_server.port(); }
    const service_model &model() const { return m_model; }

private:
    void handle(const std::shared_ptr<http::caller_exchange> &exchange);

    asio::io_context &m_context;
    http::caller_server m_server;
    service_model m_model;
    std::shared_ptr<endpoint_signals> m_signals = std::make_shared<endpoint_signals>();
    std::chrono::milliseconds m_runTime;
};

} // namespace quetzalcleat::fakes
