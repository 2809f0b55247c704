#pragma once

#include "LibHttp/caller_server.h"

#include <cstdint>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

namespace quetzalcleat::fakes {

void replyJson(http::caller_exchange &exchange, std::uint16_t status, const nlohmann::json &body);

/// Replies with an error in the format of the router's own errors, with outcome `not_run`.
void replyError(http::caller_exchange &exchange, std::uint16_t status, std::string_view type);

/// Value of a header, empty if it is absent.
std::string_view headerOf(const http::caller_request &request, std::string_view name);

} // namespace quetzalcleat::fakes
