#include "LibForward/answer_checks.h"

namespace quetzalcleat::forward {

bool isSuccess(int status)
{
    return status / 100 == 2;
}

bool promisesNotRun(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

bool isSigned(const http_head &answer, const wire_names &names)
{
    return answer.has(names.signature) && !answer.has("Content-Encoding");
}

} // namespace quetzalcleat::forward
