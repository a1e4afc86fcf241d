#include "oleander/send_policy.h"

namespace oleander {
namespace {

bool MayTryNext(const SendPolicyOptions& options, const CallRoute& route,
                const SendHistory& state) {
  const bool possible = state.time_left >= options.least_time &&
                        state.budget_left && state.server_left &&
                        state.not_run < options.most_not_run;
  if (!possible) {
    return false;
  }
  const bool known_not_run =
      state.last == SendOutcome::kNotSent || state.last == SendOutcome::kNotRun;
  if (known_not_run) {
    return state.may_have_run == 0 || route.may_repeat();
  }
  return route.may_repeat() && state.may_have_run < route.max_attempts;
}

}  // namespace

SendVerdict JudgeSend(const SendPolicyOptions& options, const CallRoute& route,
                      const SendHistory& state) {
  if (MayTryNext(options, route, state)) {
    return SendVerdict::kTryNext;
  }
  if (state.last == SendOutcome::kServerFailed) {
    return SendVerdict::kPassFailure;
  }
  return state.may_have_run == 0 ? SendVerdict::kRefuse : SendVerdict::kUnknown;
}

}  // namespace oleander
