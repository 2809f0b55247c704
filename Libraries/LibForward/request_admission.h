#pragma once

#include "LibCore/time.h"
#include "LibForward/endpoint_table.h"
#include "LibForward/http_head.h"
#include "LibForward/route_table.h"
#include "LibForward/wire_names.h"

#include <cstdint>
#include <optional>

namespace quetzalcleat::forward {

/// Size of a prompt, as its request states it.
struct prompt_size
{
    generation_size size;
    std::uint64_t sharedParts = 0; ///< Hash of the last part that other requests share; 0 for none.
};

/// Finds what a request asks for, by its head and a configuration: route, client account, service,
/// deadline and sizes. Keeps references to its arguments.
class request_admission
{
public:
    request_admission(const http_head &request, const wire_names &names)
        : m_request(request), m_names(names)
    {
    }

    /// Null if no route matches.
    const route *findRoute(const route_table &routes) const;

    /// Null if the request carries no known key.
    const client_account *findAccount(const route_table &routes) const;

    /// Chooses by the weights of the route and the request id, so that the shares hold over all
    /// hosts. Null if the route has no service.
    const service *chooseService(const route_table &routes, const route &target) const;

    /// The earlier of the caller's deadline and the route's.
    core::instant deadline(core::instant arrived, const route &target) const;

    /// Empty if the request states none.
    std::optional<prompt_size> promptSize() const;

private:
    const http_head &m_request;
    const wire_names &m_names;
};

} // namespace quetzalcleat::forward
