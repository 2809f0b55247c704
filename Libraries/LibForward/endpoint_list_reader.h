#pragma once

#include "LibCore/time.h"
#include "LibForward/endpoint_table.h"
#include "LibForward/event_log.h"
#include "LibForward/upstream.h"

#include <chrono>
#include <concepts>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <asio/steady_timer.hpp>

namespace quetzalcleat::forward {

/// One page of the platform's list of endpoints.
struct endpoint_list_page
{
    std::vector<listed_endpoint> endpoints;
    std::string next; ///< Token of the following page; empty on the last one.
    std::size_t skipped = 0; ///< Entries that could not be read.
};

/// Builds requests for the list and parses its pages.
template <typename Dialect>
concept endpoint_list_dialect = requires(const std::string &text)
{
    {
        Dialect::endpointListTarget(text)
        } -> std::same_as<std::string>;
    {
        Dialect::readEndpointListPage(text)
        } -> std::same_as<core::result<endpoint_list_page>>;
};

struct endpoint_list_reader_options
{
    core::socket_address address;
    std::chrono::milliseconds interval{1000};
    /// For one page. The platform normally responds within a few ms.
    std::chrono::milliseconds timeout{1500};
    /// Of one page; a larger one is taken to have no end. An entry takes about 300 bytes.
    std::size_t maximumPageBytes = std::size_t{4} * 1024 * 1024;
    /// Of one read of the list, so that pages that name each other come to an end.
    std::size_t maximumEndpoints = 100'000;
};

/// Polls the platform's list of endpoints, page by page.
template <endpoint_list_dialect Dialect>
class endpoint_list_reader : public std::enable_shared_from_this<endpoint_list_reader<Dialect>>
{
public:
    /// Gets the list and the time at which its first page was requested, by
    /// core::suspendAwareNow(): what the platform showed then is in the list.
    using handler = std::function<void(const std::vector<listed_endpoint> &, core::instant)>;

    endpoint_list_reader(std::shared_ptr<connection_pool> pool, event_log &log,
                         endpoint_list_reader_options options, handler changed)
        : m_pool(std::move(pool)), m_log(log), m_options(std::move(options)),
          m_changed(std::move(changed)), m_timer(m_pool->context()), m_timeout(m_pool->context())
    {
    }

    /// Checked before each read of the list; the read is skipped if false.
    void setReadCondition(std::function<bool()> condition)
    {
        m_readCondition = std::move(condition);
    }

    void start()
    {
        if (!m_readCondition || m_readCondition())
            readPage({});
        else
            scheduleRead();
    }

    /// Reads the list without waiting for the interval.
    void readNow()
    {
        if (m_stopped || m_attempt)
            return;
        m_timer.cancel();
        start();
    }

    void stop()
    {
        m_stopped = true;
        m_timer.cancel();
        m_timeout.cancel();
        if (m_attempt)
            m_attempt->cancel();
        m_changed = {};
        m_readCondition = {};
    }

    void setInterval(std::chrono::milliseconds interval) { m_options.interval = interval; }

private:
    void readPage(const std::string &token)
    {
        if (token.empty()) {
            m_collected.clear();
            m_readAt = core::suspendAwareNow();
        }
        m_body.clear();
        m_status = 0;
        attempt::request request;
        request.address = m_options.address;
        request.key = m_options.address.text();
        http_head head;
        head.method = "GET";
        head.target = Dialect::endpointListTarget(token);
        head.headers.push_back({"Host", m_options.address.text()});
        request.text = head.requestText() + "\r\n";
        const std::weak_ptr<endpoint_list_reader> weak = this->weak_from_this();
        attempt::handlers handlers;
        handlers.head = [weak](http_head &response) {
            if (const auto self = weak.lock())
                self->m_status = response.status;
        };
        handlers.body = [weak](std::string &bytes) {
            if (const auto self = weak.lock())
                self->handleBody(bytes);
        };
        handlers.ended = [weak](const attempt::ending &ending) {
            if (const auto self = weak.lock())
                self->handleEnd(ending.error);
        };
        m_timeout.expires_after(m_options.timeout);
        m_timeout.async_wait([weak](std::error_code error) {
            const auto self = weak.lock();
            if (error || !self || self->m_stopped || !self->m_attempt)
                return;
            self->m_attempt->cancel();
            self->failed("timed out");
        });
        m_attempt = attempt::start(m_pool, std::move(request), std::move(handlers));
    }

    void handleBody(const std::string &bytes)
    {
        m_body.append(bytes);
        if (m_body.size() <= m_options.maximumPageBytes)
            return;
        m_timeout.cancel();
        m_attempt->cancel();
        failed("the page has more than " + std::to_string(m_options.maximumPageBytes) + " bytes");
    }

    void handleEnd(std::error_code error)
    {
        m_timeout.cancel();
        m_attempt.reset();
        if (m_stopped)
            return;
        if (error || m_status != 200) {
            failed(error ? error.message() : "status " + std::to_string(m_status));
            return;
        }
        auto page = Dialect::readEndpointListPage(m_body);
        if (!page) {
            failed(page.error().message());
            return;
        }
        if (page.value().skipped != m_skipped) {
            m_skipped = page.value().skipped;
            m_log.write("list_entries_skipped", {{"count", std::to_string(m_skipped)}});
        }
        auto &endpoints = page.value().endpoints;
        m_collected.insert(m_collected.end(), std::make_move_iterator(endpoints.begin()),
                           std::make_move_iterator(endpoints.end()));
        if (m_collected.size() > m_options.maximumEndpoints) {
            failed("the list has more than " + std::to_string(m_options.maximumEndpoints)
                   + " entries");
            return;
        }
        if (!page.value().next.empty()) {
            readPage(page.value().next);
            return;
        }
        if (!std::exchange(m_hasRead, true) || std::exchange(m_failing, false))
            m_log.write("list_read", {{"endpoints", std::to_string(m_collected.size())}});
        m_changed(m_collected, m_readAt);
        scheduleRead();
    }

    void failed(const std::string &cause)
    {
        m_attempt.reset();
        if (!std::exchange(m_failing, true))
            m_log.write("list_read_failed", {{"cause", cause}});
        scheduleRead();
    }

    void scheduleRead()
    {
        m_timer.expires_after(m_options.interval);
        m_timer.async_wait([weak = this->weak_from_this()](std::error_code error) {
            const auto self = weak.lock();
            if (!error && self && !self->m_stopped)
                self->start();
        });
    }

    std::shared_ptr<connection_pool> m_pool;
    event_log &m_log;
    endpoint_list_reader_options m_options;
    handler m_changed;
    std::function<bool()> m_readCondition;
    asio::steady_timer m_timer;
    asio::steady_timer m_timeout;
    std::shared_ptr<attempt> m_attempt;
    std::vector<listed_endpoint> m_collected;
    core::instant m_readAt; ///< Start of the read in progress.
    std::string m_body;
    std::size_t m_skipped = 0;
    int m_status = 0;
    bool m_hasRead = false;
    bool m_failing = false;
    bool m_stopped = false;
};

} // namespace quetzalcleat::forward
