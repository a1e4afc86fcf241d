#include "parts/request_record.h"

#include <numeric>
#include <utility>

#include "oleander/result_code.h"

namespace oleander {
namespace {

constexpr int64_t kRecordOverheadBytes = 1024;
constexpr int64_t kEventOverheadBytes = 32;

SequencerOptions SequencerOptionsOf(const RequestTableOptions& options) {
  SequencerOptions sequencer;
  sequencer.mutation_skip_attempt_check = options.mutations.skip_epoch_check;
  return sequencer;
}

class Earliest {
 public:
  void Add(std::optional<Time> time) {
    if (time.has_value() && (!earliest_.has_value() || *time < *earliest_)) {
      earliest_ = time;
    }
  }
  std::optional<Time> value() const { return earliest_; }

 private:
  std::optional<Time> earliest_;
};

std::optional<Time> ProgressDue(const HeldRequest& request,
                                const RequestTiming& timing) {
  const ReplicaLink& link = request.replica;
  if (!link.held) {
    return std::nullopt;
  }
  const bool unsent =
      link.sent < request.size() || (request.ended() && !link.end_sent);
  if (unsent) {
    return link.last_sent + timing.progress_interval;
  }
  const bool unacked =
      link.acked < link.sent || (link.end_sent && !link.end_acked);
  if (unacked) {
    return link.last_sent + timing.resend_interval;
  }
  return std::nullopt;
}

std::optional<Time> LagDue(const HeldRequest& request,
                           const RequestTiming& timing) {
  if (request.phase == RequestPhase::kAccepting ||
      request.promote_due.has_value() || request.visible >= request.size()) {
    return std::nullopt;
  }
  return request.visible_moved + timing.replica_lag_bound;
}

}  // namespace

std::optional<Time> StallDue(const HeldRequest& request) {
  if (!request.attempt.active || !request.attempt.started) {
    return std::nullopt;
  }
  const Duration bound = request.attempt.any_event
                             ? request.spec->stall_bound
                             : request.spec->first_event_bound;
  if (bound == Duration::zero()) {
    return std::nullopt;
  }
  return request.attempt.last_progress + bound;
}

HeldRequest::HeldRequest(RequestId request_id,
                         std::shared_ptr<const RequestSpec> request,
                         uint64_t seed, const RequestTableOptions& options)
    : id(std::move(request_id)),
      spec(std::move(request)),
      sequencer(SequencerOptionsOf(options)),
      backoff(options.timing.backoff, seed) {}

bool AppendEvents(HeldRequest& request, uint64_t first_index,
                  const std::vector<std::string>& events) {
  if (first_index > request.size()) {
    return false;
  }
  const uint64_t known = request.size() - first_index;
  for (uint64_t i = known; i < events.size(); ++i) {
    request.event_bytes += static_cast<int64_t>(events[i].size());
    request.events.push_back(events[i]);
  }
  return true;
}

std::vector<std::string> EventsBetween(const HeldRequest& request,
                                       uint64_t first, uint64_t last) {
  const auto begin = request.events.begin();
  return {begin + static_cast<ptrdiff_t>(std::min(first, last)),
          begin + static_cast<ptrdiff_t>(last)};
}

std::string JoinEvents(const std::vector<std::string>& events) {
  return std::accumulate(events.begin(), events.end(), std::string(),
                         [](std::string text, const std::string& event) {
                           text += event;
                           return text;
                         });
}

RequestState StateOf(const HeldRequest& request, uint64_t visible) {
  if (!request.ended() || visible < request.size()) {
    return request.events.empty() ? RequestState::kQueued
                                  : RequestState::kRunning;
  }
  if (request.end->status.ok()) {
    return RequestState::kDone;
  }
  return CodeOf(request.end->status) == ResultCode::kCancelled
             ? RequestState::kCancelled
             : RequestState::kFailed;
}

RequestView ViewOf(const HeldRequest& request, uint64_t visible) {
  RequestView view;
  view.state = StateOf(request, visible);
  view.events = visible;
  view.text = JoinEvents(EventsBetween(request, 0, visible));
  if (visible == request.size()) {
    view.end = request.end;
  }
  return view;
}

int64_t ReservedBytes(const RequestSpec& spec, const RequestLimits& limits) {
  const int64_t tokens = std::min(spec.max_tokens, limits.max_reserved_tokens);
  return kRecordOverheadBytes + static_cast<int64_t>(spec.body.size()) +
         tokens * (limits.reserved_bytes_per_token + kEventOverheadBytes);
}

int64_t BytesOf(const HeldRequest& request, const RequestLimits& limits) {
  const int64_t events =
      request.event_bytes +
      static_cast<int64_t>(request.size()) * kEventOverheadBytes;
  const int64_t used = kRecordOverheadBytes +
                       static_cast<int64_t>(request.spec->body.size()) + events;
  if (request.ended()) {
    return used;
  }
  return std::max(used, ReservedBytes(*request.spec, limits));
}

std::optional<Time> NextDue(const HeldRequest& request,
                            const RequestTiming& timing) {
  Earliest next;
  next.Add(request.drop_at);
  if (request.role == RequestRole::kReplica) {
    next.Add(request.check_at);
    return next.value();
  }
  if (!request.ended()) {
    next.Add(request.deadline);
  }
  next.Add(request.hold_due);
  next.Add(request.release_due);
  next.Add(ProgressDue(request, timing));
  next.Add(LagDue(request, timing));
  next.Add(StallDue(request));
  next.Add(request.dispatch_at);
  next.Add(request.promote_due);
  for (const RemoteFollower& follower : request.remote_followers) {
    next.Add(follower.last_received + timing.follower_timeout);
  }
  return next.value();
}

}  // namespace oleander
