#include "endpoint_signals.h"

#include <string>
#include <utility>

#include <nlohmann/json.hpp>

namespace quetzalcleat::fakes {

namespace {

constexpr std::uint16_t unavailable = 503;

/// Names the request and adds the signals at the time at which the response starts.
class signalling_exchange : public http::caller_exchange
{
public:
    signalling_exchange(std::shared_ptr<http::caller_exchange> exchange,
                        std::shared_ptr<const endpoint_signals> signals)
        : m_exchange(std::move(exchange)), m_signals(std::move(signals))
    {
    }

    const http::caller_request &request() const override { return m_exchange->request(); }
    void releaseBody() override { m_exchange->releaseBody(); }

    void respond(http::response_head head, std::string body) override
    {
        m_exchange->respond(signalled(std::move(head)), std::move(body));
    }

    void startStream(http::response_head head) override
    {
        m_exchange->startStream(signalled(std::move(head)));
    }

    void write(std::string chunk, written_callback written) override
    {
        m_exchange->write(std::move(chunk), std::move(written));
    }

    void finishStream() override { m_exchange->finishStream(); }

    void onDisconnect(std::function<void()> callback) override
    {
        m_exchange->onDisconnect(std::move(callback));
    }

    void onInterrupt(std::function<void()> callback) override
    {
        m_exchange->onInterrupt(std::move(callback));
    }

private:
    http::response_head signalled(http::response_head head) const
    {
        // Without it, hosts do not use the connection again.
        if (const auto id = http::findHeader(request().headers, "X-Request-Id"))
            head.headers.push_back({"X-Request-Id", std::string(*id)});
        if (m_signals->saysLeaving)
            head.headers.push_back({"Endpoint-Leaving", "1"});
        return head;
    }

    std::shared_ptr<http::caller_exchange> m_exchange;
    std::shared_ptr<const endpoint_signals> m_signals;
};

} // namespace

void endpoint_signals::apply(const nlohmann::json &body)
{
    if (body.contains("says_leaving") && body["says_leaving"].is_boolean())
        saysLeaving = body["says_leaving"].get<bool>();
    if (body.contains("refusal_wait_ms") && body["refusal_wait_ms"].is_number_unsigned())
        refusalWait = std::chrono::milliseconds(body["refusal_wait_ms"].get<std::uint32_t>());
}

std::shared_ptr<http::caller_exchange> withSignals(std::shared_ptr<http::caller_exchange> exchange,
                                                   std::shared_ptr<const endpoint_signals> signals)
{
    return std::make_shared<signalling_exchange>(std::move(exchange), std::move(signals));
}

void refuse(http::caller_exchange &exchange, const endpoint_signals &signals)
{
    const std::chrono::duration<double> wait = signals.refusalWait;
    http::response_head head;
    head.status = unavailable;
    head.headers.push_back({"Content-Type", "application/json"});
    head.headers.push_back({"Retry-After", std::to_string(wait.count())});
    exchange.respond(std::move(head),
                     R"({"error":{"type":"refused","retryable":true,"outcome":"not_run"}})");
}

} // namespace quetzalcleat::fakes
