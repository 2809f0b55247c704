#pragma once

#include "LibCore/counter_registry.h"
#include "LibCore/logger.h"
#include "LibCore/time.h"
#include "LibHttp/endpoint_client.h"
#include "quetzalcleatd/dispatcher.h"
#include "quetzalcleatd/document_size.h"
#include "quetzalcleatd/notice_recorder.h"
#include "quetzalcleatd/routing_table.h"

#include <asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace quetzalcleat::daemon {

struct session_options
{
    http::transfer_timeouts engine{.connect = std::chrono::milliseconds(1000),
                                   .firstByte = std::chrono::milliseconds(30000),
                                   .progress = std::chrono::milliseconds(10000)};
    http::transfer_timeouts service{.connect = std::chrono::milliseconds(1000),
                                    .firstByte = std::chrono::milliseconds(30000),
                                    .progress = std::chrono::milliseconds(10000),
                                    .body = std::chrono::milliseconds(60000)};
    std::chrono::milliseconds claimTimeout{3000};
    std::size_t documentValues = defaultDocumentValues; ///< Most of a parsed document.
    core::time_source now = core::suspendAwareNow; ///< For claims; has to count suspended time.
};

/// Shared state of the sessions of a process. Outlives them.
struct session_environment
{
    asio::io_context &context;
    http::endpoint_client &endpoints;
    dispatcher &decisions;
    notice_recorder &notices;
    core::counter_registry &counters;
    const core::logger &log;
    std::shared_ptr<const routing_table> routing; ///< Null until a configuration is in force.
    std::string hostName;
    std::uint64_t hostIncarnation = 0; ///< Under which this process claims.
    session_options options;
    /// End of a planned stop; set once callers have had their notice.
    std::optional<core::instant> stopEnd = std::nullopt;

    /// Whether a planned stop leaves a request the time until its deadline.
    bool canServeUntil(core::instant deadline) const { return !stopEnd || deadline <= *stopEnd; }
};

} // namespace quetzalcleat::daemon
