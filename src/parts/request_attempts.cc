// Attempts at backend servers: dispatch, events, stalls and retries.
#include <fmt/format.h>

#include <algorithm>

#include "oleander/invariant.h"
#include "oleander/result_code.h"
#include "parts/requests_impl.h"

namespace oleander {
namespace {

constexpr size_t kMaxAvoidedServers = 8;

void CountOffer(SequencerCounts& counts, OfferResult result) {
  switch (result) {
    case OfferResult::kPassed:
      ++counts.passed;
      break;
    case OfferResult::kBuffered:
      ++counts.reordered;
      break;
    case OfferResult::kDuplicate:
      ++counts.duplicate;
      break;
    case OfferResult::kForeign:
      ++counts.foreign;
      break;
    case OfferResult::kOverflowed:
      ++counts.overflowed;
      break;
  }
}

// Returns the last attempt's error as that of the request. That the last one
// didn't run says nothing about the earlier ones.
absl::Status OfAllAttempts(const HeldRequest& request,
                           const absl::Status& last) {
  const ErrorDetails details = DetailsOf(last);
  if (!request.may_have_run || details.ran != Ran::kNo) {
    return last;
  }
  return MakeError(
      {.code = details.code, .ran = Ran::kUnknown, .retry_after = std::nullopt},
      std::string(last.message()));
}

}  // namespace

HeldRequest* RequestTable::Impl::CurrentAttempt(const AttemptKey& key) {
  HeldRequest* request = Find(key.id);
  if (request == nullptr || request->role != RequestRole::kHome ||
      !request->attempt.active) {
    return nullptr;
  }
  const bool current = request->attempt_key() == key;
  return current || options_.mutations.skip_epoch_check ? request : nullptr;
}

void RequestTable::Impl::Dispatch(Time now, HeldRequest& request) {
  request.dispatch_at.reset();
  if (request.ended()) {
    return;
  }
  RunningAttempt attempt;
  attempt.number = request.attempt.number + 1;
  attempt.active = true;
  attempt.last_progress = now;
  request.attempt = attempt;
  request.sequencer.StartAttempt(request.ownership.epoch, attempt.number,
                                 request.size());
  ++counts_.attempts;
  actions_.push_back(DispatchAttempt{.key = request.attempt_key(),
                                     .spec = request.spec,
                                     .deadline = request.deadline,
                                     .resume_from = request.size(),
                                     .resume_text = JoinEvents(request.events),
                                     .avoid = request.avoid});
}

void RequestTable::Impl::StopAttempt(HeldRequest& request) {
  request.dispatch_at.reset();
  if (!request.attempt.active) {
    return;
  }
  request.attempt.active = false;
  request.may_have_run = request.may_have_run || request.attempt.started;
  actions_.push_back(CancelAttempt{request.attempt_key()});
}

void RequestTable::Impl::AvoidServer(HeldRequest& request) {
  if (!request.attempt.started ||
      std::ranges::find(request.avoid, request.attempt.server) !=
          request.avoid.end()) {
    return;
  }
  if (request.avoid.size() >= kMaxAvoidedServers) {
    request.avoid.erase(request.avoid.begin());
  }
  request.avoid.push_back(request.attempt.server);
}

void RequestTable::Impl::RetryAttempt(Time now, HeldRequest& request,
                                      const absl::Status& status) {
  if (request.attempt.any_event) {
    Dispatch(now, request);
    return;
  }
  ++request.attempts_without_progress;
  if (request.attempts_without_progress >=
      options_.timing.max_attempts_without_progress) {
    End(now, request,
        {.status = OfAllAttempts(request, status), .finish_reason = {}});
    return;
  }
  request.dispatch_at = now + request.backoff.Next();
}

void RequestTable::Impl::ResumeIfStalled(Time now, HeldRequest& request) {
  const std::optional<Time> due = StallDue(request);
  if (!due.has_value() || *due > now) {
    return;
  }
  ++counts_.stalls;
  AvoidServer(request);
  StopAttempt(request);
  RetryAttempt(now, request,
               MakeError(ResultCode::kStalled,
                         fmt::format("Request {} made no progress.",
                                     request.id.value())));
}

void RequestTable::Impl::End(Time now, HeldRequest& request, RequestEnd end) {
  ++counts_.ended;
  counts_.failed += end.status.ok() ? 0 : 1;
  request.end = std::move(end);
  request.drop_at = now + request.spec->answer_retention;
  if (request.phase != RequestPhase::kAccepting) {
    request.phase = RequestPhase::kEnded;
  }
}

void RequestTable::Impl::CancelRequest(Time now, HeldRequest& request) {
  if (request.ended()) {
    return;
  }
  StopAttempt(request);
  End(now, request,
      {.status = MakeError(
           ResultCode::kCancelled,
           fmt::format("Request {} was cancelled.", request.id.value())),
       .finish_reason = {}});
}

void RequestTable::Impl::OnAttemptStarted(Time now, const AttemptKey& key,
                                          const ServerId& server) {
  HeldRequest* request = CurrentAttempt(key);
  if (request == nullptr) {
    return;
  }
  request->ever_started = true;
  request->attempt.started = true;
  request->attempt.server = server;
  request->attempt.last_progress = now;
  FinishUpdate(now, *request);
}

void RequestTable::Impl::OnTokens(Time now, const AttemptKey& key,
                                  uint64_t first_index,
                                  std::span<const std::string> tokens) {
  HeldRequest* request = CurrentAttempt(key);
  if (request == nullptr) {
    counts_.stale_attempt_events += tokens.size();
    return;
  }
  uint64_t index = first_index;
  for (const std::string& token : tokens) {
    CountOffer(counts_.events, request->sequencer.Offer({.epoch = key.epoch,
                                                         .attempt = key.attempt,
                                                         .index = index++,
                                                         .data = token}));
  }
  const std::vector<std::string> ready = request->sequencer.TakeReady();
  if (ready.empty()) {
    return;
  }
  const uint64_t first = request->sequencer.next() - ready.size();
  if (!CheckInvariant(first == request->size(), "event_index_continuous", [&] {
        return fmt::format(
            "Request {} holds {} events and received event {} next.",
            request->id.value(), request->size(), first);
      })) {
    return;
  }
  if (request->visible == request->size()) {
    request->visible_moved = now;
  }
  AppendEvents(*request, first, ready);
  request->attempt.any_event = true;
  request->attempt.last_progress = now;
  request->attempts_without_progress = 0;
  request->backoff.Reset();
  FinishUpdate(now, *request);
}

void RequestTable::Impl::OnAttemptEnded(Time now, const AttemptKey& key,
                                        const AttemptOutcome& outcome) {
  HeldRequest* request = CurrentAttempt(key);
  if (request == nullptr) {
    return;
  }
  request->attempt.active = false;
  request->may_have_run =
      request->may_have_run || DetailsOf(outcome.status).ran != Ran::kNo;
  const absl::Status status =
      outcome.status.ok()
          ? request->sequencer.CheckComplete(outcome.total_events)
          : outcome.status;
  if (status.ok()) {
    End(now, *request,
        {.status = status, .finish_reason = outcome.finish_reason});
  } else if (outcome.retryable || outcome.status.ok()) {
    AvoidServer(*request);
    RetryAttempt(now, *request, status);
  } else {
    End(now, *request, {.status = status, .finish_reason = {}});
  }
  FinishUpdate(now, *request);
}

void RequestTable::Impl::OnServerLost(Time now, const ServerId& server) {
  for (const AttemptKey& key : AttemptsOn(server)) {
    ResumeElsewhere(now, key);
  }
}

void RequestTable::Impl::ResumeElsewhere(Time now, const AttemptKey& key) {
  HeldRequest* request = CurrentAttempt(key);
  if (request == nullptr) {
    return;
  }
  AvoidServer(*request);
  StopAttempt(*request);
  Dispatch(now, *request);
  FinishUpdate(now, *request);
}

}  // namespace oleander
