#pragma once

#include "LibFakes/engine_model.h"
#include "LibHttp/caller_server.h"
#include "endpoint_signals.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

#include <nlohmann/json_fwd.hpp>

namespace quetzalcleat::fakes {

class generation_stream;

/// HTTP server for an engine_model, with the API of section 2.3 of the design page. `POST /faults`
/// injects faults.
class engine_server : public std::enable_shared_from_this<engine_server>
{
public:
    engine_server(asio::io_context &context, core::socket_address address, engine_options options);

    /// Starts to listen. Errors are those of the operating system.
    core::result<void> open();
    std::uint16_t port() const { return m_server.port(); }
    engine_model &model() { return m_model; }

private:
    using exchange_pointer = std::shared_ptr<http::caller_exchange>;

    void handle(const exchange_pointer &exchange);
    void generate(const exchange_pointer &exchange);
    void cancelByRequestId(const exchange_pointer &exchange, const std::string &requestId);
    void replyLoad(http::caller_exchange &exchange);
    void replyCacheEvents(http::caller_exchange &exchange);
    void execute(http::caller_exchange &exchange);
    void setFaults(http::caller_exchange &exchange);
    void advance();
    void dispatch(const engine_event &event);
    void armTimer();

    asio::io_context &m_context;
    http::caller_server m_server;
    engine_model m_model;
    std::shared_ptr<endpoint_signals> m_signals = std::make_shared<endpoint_signals>();
    asio::steady_timer m_timer;
    std::unordered_map<std::uint64_t, std::shared_ptr<generation_stream>> m_streams;
    std::unordered_map<std::string, std::uint64_t> m_generationByRequestId;
    std::uint64_t m_lastGeneration = 0;
};

} // namespace quetzalcleat::fakes
