// What follows when one attempt of a call has ended without an answer for the
// caller: another server, a refusal that is true, or the plain news that the
// outcome is unknown.
//
// A call that may not repeat is sent again only where the attempt is known not
// to have run. A refusal ("not run, and never will") is said only where that
// holds for every attempt.
#ifndef OLEANDER_SEND_POLICY_H_
#define OLEANDER_SEND_POLICY_H_

#include "oleander/serving_config.h"
#include "oleander/types.h"

namespace oleander {

enum class SendOutcome {
  kNotSent,       // No byte reached the server.
  kNotRun,        // The server states that it did not run the call.
  kLost,          // Sent, and no answer or not a whole one: it may have run.
  kServerFailed,  // A whole answer of the server's own that reports a failure.
};

struct SendHistory {
  int may_have_run = 0;  // Attempts that ran or may have, the last included.
  int not_run = 0;       // Attempts known not to have run.
  SendOutcome last = SendOutcome::kNotSent;
  Duration time_left{};
  bool budget_left = true;  // The service's retries, over all instances.
  bool server_left = true;  // One that hasn't been tried.
};

enum class SendDecision {
  kTryNext,
  kRefuse,          // Not run, and never will be.
  kUnknown,         // It may have run.
  kForwardFailure,  // The server's own failure goes to the caller unchanged.
};

struct SendPolicyOptions {
  // With less time than this a further attempt can't be answered.
  Duration min_time_left = std::chrono::milliseconds(25);
  // Attempts that did not run cost little, but each is an arrival at a server.
  int max_not_run = 3;
};

SendDecision DecideAfterAttempt(const SendPolicyOptions& options,
                                const CallRoute& route,
                                const SendHistory& history);

}  // namespace oleander

#endif  // OLEANDER_SEND_POLICY_H_
