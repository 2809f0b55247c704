#pragma once

#include "LibCore/time.h"

#include <functional>
#include <memory>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

namespace quetzalcleat::forward {

class exchange;

/// Requests that wait in this host because no endpoint of their service takes requests now.
///
/// They are placed again one after another, the most urgent and then the oldest first. The number
/// of requests is bounded by the caller.
class held_requests
{
public:
    explicit held_requests(asio::io_context &context) : m_timer(context) { }

    /// The request is placed again not before `next`, unless resume() is called.
    void add(const std::shared_ptr<exchange> &request, core::instant next);

    /// Places all requests again, as an endpoint may take requests now. Those that still find none
    /// add themselves again.
    void resume();

    void stop();

private:
    void startTimer();

    asio::steady_timer m_timer;
    std::vector<std::weak_ptr<exchange>> m_requests;
    core::instant m_next;
    bool m_isResuming = false;
    bool m_stopped = false;
};

} // namespace quetzalcleat::forward
