#pragma once

#include "LibForward/http_head.h"
#include "LibForward/wire_names.h"

namespace quetzalcleat::forward {

bool isSuccess(int status);

/// Statuses by which callers know that a request has not run and never will.
bool promisesNotRun(int status);

/// Whether the endpoint itself has signed the answer, and its body is as it was signed.
bool isSigned(const http_head &answer, const wire_names &names);

} // namespace quetzalcleat::forward
