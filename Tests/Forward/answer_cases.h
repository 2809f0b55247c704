#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace quetzalcleat::test {

/// What an endpoint may send as its answer to the request "r1".
struct answer_case
{
    const char *name;
    std::string bytes;
    const char *reason = ""; ///< Why it is broken, as in the metrics.
};

std::ostream &operator<<(std::ostream &stream, const answer_case &entry);

/// The fields that make an answer one to the request "r1".
extern const std::string answerIdentity;

/// Answers that break RFC 9112, with a body of "ok" or similar ones.
std::vector<answer_case> brokenStatusLines();
std::vector<answer_case> brokenFieldLines();
std::vector<answer_case> brokenLengths();
std::vector<answer_case> brokenAnswers(); ///< All of these.

/// Answers with the body "ok" that RFC 9112 allows.
std::vector<answer_case> soundAnswers();

/// Whether libcurl accepts the answer, although RFC 9112 does not allow endpoints to send it: the
/// size of a chunk stays clear without a carriage return, and chunk extensions are skipped.
bool isAcceptedByLibcurl(const answer_case &broken);
/// Whether libcurl refuses the answer, although RFC 9112 allows it.
bool isRefusedByLibcurl(const answer_case &sound);

} // namespace quetzalcleat::test
