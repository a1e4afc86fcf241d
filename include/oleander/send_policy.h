// Decides what follows an attempt that ended without an answer for the caller:
// another server, a refusal, the report that the outcome is unknown, or the
// server's own failure.
//
// A call that must run at most once is sent again only if it is known that no
// attempt ran. A refusal states that the call didn't run and never will, so it
// is returned only if that holds for every attempt.
#ifndef OLEANDER_SEND_POLICY_H_
#define OLEANDER_SEND_POLICY_H_

#include "oleander/serving_config.h"
#include "oleander/types.h"

namespace oleander {

enum class SendOutcome {
  kNotSent,  // No byte reached the server.
  kNotRun,   // The server reports that it didn't run the call.
  // Sent, without a complete answer: the call may have run.
  kLost,
  kServerFailed,  // A complete answer that reports a failure.
};

struct SendHistory {
  int may_have_run = 0;  // Attempts that ran or may have, the last included.
  int not_run = 0;       // Attempts known not to have run.
  SendOutcome last = SendOutcome::kNotSent;
  Duration time_left{};
  bool budget_left = true;  // The service's retry budget isn't spent.
  bool server_left = true;  // An untried server is left.
  // The call was lost with its server, and so were others with parts of its
  // prompt: another server may end like the last one.
  bool may_end_servers = false;
};

enum class SendDecision {
  kTryNext,
  kRefuse,          // The call didn't run and never will.
  kUnknown,         // The call may have run.
  kForwardFailure,  // Return the server's failure unchanged.
};

struct SendPolicyOptions {
  // With less time than this left, another attempt can't be answered.
  Duration min_time_left = std::chrono::milliseconds(25);
  // An attempt that didn't run costs little, but each one still reaches a
  // server.
  int max_not_run = 3;
};

SendDecision DecideAfterAttempt(const SendPolicyOptions& options,
                                const CallRoute& route,
                                const SendHistory& history);

}  // namespace oleander

#endif  // OLEANDER_SEND_POLICY_H_
