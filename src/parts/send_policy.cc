#include "oleander/send_policy.h"

namespace oleander {
namespace {

bool MayTryNext(const SendPolicyOptions& options, const CallRoute& route,
                const SendHistory& history) {
  const bool possible = history.time_left >= options.min_time_left &&
                        history.budget_left && history.server_left &&
                        !history.may_end_servers &&
                        history.not_run < options.max_not_run;
  if (!possible) {
    return false;
  }
  const bool known_not_run = history.last == SendOutcome::kNotSent ||
                             history.last == SendOutcome::kNotRun;
  if (known_not_run) {
    return history.may_have_run == 0 || route.may_repeat();
  }
  return route.may_repeat() && history.may_have_run < route.max_attempts;
}

}  // namespace

SendDecision DecideAfterAttempt(const SendPolicyOptions& options,
                                const CallRoute& route,
                                const SendHistory& history) {
  if (MayTryNext(options, route, history)) {
    return SendDecision::kTryNext;
  }
  if (history.last == SendOutcome::kServerFailed) {
    return SendDecision::kForwardFailure;
  }
  return history.may_have_run == 0 ? SendDecision::kRefuse
                                   : SendDecision::kUnknown;
}

}  // namespace oleander
