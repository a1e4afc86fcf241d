#include "oleander/requests.h"

#include <fmt/format.h>

#include <algorithm>
#include <ranges>

#include "oleander/invariant.h"
#include "oleander/result_code.h"
#include "parts/requests_impl.h"

namespace oleander {
namespace {

// Of one peer; more restarts than this don't fit into a message's lifetime.
constexpr size_t kMaxPastRuns = 8;

}  // namespace

RequestTable::Impl::Impl(RequestTableOptions options, uint64_t seed)
    : options_(std::move(options)),
      random_(seed),
      run_(random_()),
      relays_(options_, random_()) {}

void RequestTable::Impl::SetPeers(Time now, std::span<const PeerView> peers) {
  std::map<InstanceId, PeerView> next;
  for (const PeerView& peer : peers) {
    if (peer.info.id != options_.self.id) {
      next[peer.info.id] = peer;
    }
  }
  peers_ = std::move(next);
  for (const RequestId& id : AllIds()) {
    if (HeldRequest* request = Find(id)) {
      OnPeerChange(now, *request);
    }
  }
  relays_.SetPeers(now, peers_);
}

void RequestTable::Impl::OnPeerChange(Time now, HeldRequest& request) {
  if (request.role == RequestRole::kReplica) {
    const auto home = peers_.find(request.ownership.home);
    if (home == peers_.end() || !home->second.alive) {
      ++counts_.adopted_on_loss;
      Adopt(now, request);
    }
    return;
  }
  const bool lost =
      !request.replica.id.empty() && !IsUsable(request.replica.id);
  const bool waits_for_one = request.replica.id.empty() &&
                             request.spec->replica != ReplicaRule::kNone &&
                             !request.deposed_by.has_value();
  if (lost) {
    LoseReplica(now, request);
  } else if (waits_for_one) {
    StartReplica(now, request);
  }
  if (Find(request.id) == &request) {
    Settle(now, request);
  }
}

absl::StatusOr<RequestId> RequestTable::Impl::Accept(Time now,
                                                     RequestSpec spec) {
  if (draining_) {
    return MakeError(
        ResultCode::kDraining,
        fmt::format("Instance {} is leaving.", options_.self.id.value()));
  }
  if (const absl::Status room = CheckRoom(spec); !room.ok()) {
    return room;
  }
  auto shared = std::make_shared<const RequestSpec>(std::move(spec));
  HeldRequest probe({}, shared, 0, options_);
  const bool alone = shared->replica == ReplicaRule::kNone;
  const std::optional<InstanceId> replica =
      alone ? std::nullopt : ChooseReplica(probe);
  if (!alone && !replica.has_value()) {
    return MakeError(
        ResultCode::kNoReplica,
        fmt::format("No instance in reach of {} can hold a second copy under "
                    "profile {}.",
                    options_.self.id.value(), shared->profile.value()));
  }
  const RequestId id = MakeRequestId(options_.self.id,
                                     replica.value_or(InstanceId()), random_());
  HeldRequest& request = AddRecord(id, std::move(shared));
  request.ownership = {.epoch = 1, .home = options_.self.id};
  request.phase = RequestPhase::kAccepting;
  request.visible_moved = now;
  if (request.spec->deadline != Duration::zero()) {
    request.deadline = now + request.spec->deadline;
  }
  if (alone || options_.mutations.accept_without_ack) {
    request.phase = RequestPhase::kRunning;
    ++counts_.accepted;
    actions_.push_back(
        RequestAccepted{.id = id, .replica = {}, .other_domain = false});
  }
  if (replica.has_value()) {
    request.replica.id = *replica;
    request.replica.number = 1;
    SendHold(now, request);
  }
  Dispatch(now, request);
  Settle(now, request);
  return id;
}

void RequestTable::Impl::RefuseAccept(HeldRequest& request) {
  const bool may_run = request.ever_started || !request.unanswered.empty();
  ++counts_.refused;
  actions_.push_back(RequestRefused{
      .id = request.id,
      .status = MakeError(
          {.code = ResultCode::kNoReplica,
           .ran = may_run ? Ran::kUnknown : Ran::kNo,
           .retry_after = std::nullopt},
          fmt::format("No second instance confirmed to hold request {}.",
                      request.id.value()))});
  StopAttempt(request);
  ReleaseUnanswered(request);
  MoveFollowers(request, {});
  Drop(request, {.ownership = request.ownership,
                 .link = request.replica.number,
                 .moved_to = {},
                 .gone = true});
}

HeldRequest* RequestTable::Impl::Find(const RequestId& id) const {
  const auto found = records_.find(id);
  return found == records_.end() ? nullptr : found->second.get();
}

HeldRequest& RequestTable::Impl::AddRecord(
    const RequestId& id, std::shared_ptr<const RequestSpec> spec) {
  auto& slot = records_[id];
  slot =
      std::make_unique<HeldRequest>(id, std::move(spec), random_(), options_);
  CountProfile(*slot, 1);
  Count(*slot);
  return *slot;
}

void RequestTable::Impl::Drop(HeldRequest& request, Remembered remembered) {
  const RequestId id = request.id;
  Remember(id, std::move(remembered));
  CountProfile(request, -1);
  bytes_ -= request.counted_bytes;
  profiles_[request.spec->profile].bytes -= request.counted_bytes;
  if (request.due.has_value()) {
    queue_.erase({*request.due, id});
  }
  for (const LocalFollower& follower : request.local_followers) {
    followed_here_.erase(follower.id);
  }
  records_.erase(id);
}

void RequestTable::Impl::Remember(const RequestId& id, Remembered remembered) {
  const auto [entry, added] =
      remembered_.insert_or_assign(id, std::move(remembered));
  if (added) {
    remembered_order_.push_back(id);
  }
  while (remembered_order_.size() > options_.limits.max_remembered) {
    remembered_.erase(remembered_order_.front());
    remembered_order_.pop_front();
  }
}

absl::Status RequestTable::Impl::CheckRoom(const RequestSpec& spec) const {
  const int64_t bytes = ReservedBytes(spec, options_.limits);
  const auto full = [&](std::string_view what, int64_t limit) {
    return MakeError(ResultCode::kMemoryFull,
                     fmt::format("Instance {} holds no more than {} {}.",
                                 options_.self.id.value(), limit, what));
  };
  if (records_.size() >= options_.limits.max_requests) {
    return full("requests", static_cast<int64_t>(options_.limits.max_requests));
  }
  if (bytes_ + bytes > options_.limits.max_bytes) {
    return full("bytes of requests", options_.limits.max_bytes);
  }
  const auto use = profiles_.find(spec.profile);
  if (use == profiles_.end()) {
    return absl::OkStatus();
  }
  if (spec.max_requests > 0 && use->second.requests >= spec.max_requests) {
    return full(fmt::format("requests of profile {}", spec.profile.value()),
                spec.max_requests);
  }
  if (spec.max_bytes > 0 && use->second.bytes + bytes > spec.max_bytes) {
    return full(fmt::format("bytes of profile {}", spec.profile.value()),
                spec.max_bytes);
  }
  return absl::OkStatus();
}

void RequestTable::Impl::Count(HeldRequest& request) {
  const int64_t bytes = BytesOf(request, options_.limits);
  const int64_t change = bytes - std::exchange(request.counted_bytes, bytes);
  bytes_ += change;
  profiles_[request.spec->profile].bytes += change;
}

void RequestTable::Impl::CountProfile(const HeldRequest& request, int sign) {
  profiles_[request.spec->profile].requests += sign;
}

void RequestTable::Impl::Settle(Time now, HeldRequest& request) {
  if (request.role == RequestRole::kHome) {
    AdvanceVisible(now, request);
    FlushLocal(request);
    FlushRemote(now, request);
    if (request.deposed_by.has_value() && !ServesFollowers(request)) {
      StopAttempt(request);
      Drop(request, {.ownership = request.ownership,
                     .link = request.replica.number,
                     .moved_to = *request.deposed_by,
                     .gone = false});
      return;
    }
    SendProgressIfDue(now, request);
    HandOverIfReady(now, request);
    if (Find(request.id) != &request) {
      return;
    }
  }
  Count(request);
  Reschedule(request);
  if (!beacon_due_.has_value()) {
    beacon_due_ = now + options_.timing.beacon;
  }
}

void RequestTable::Impl::Reschedule(HeldRequest& request) {
  const std::optional<Time> due = NextDue(request, options_.timing);
  if (due == request.due) {
    return;
  }
  if (request.due.has_value()) {
    queue_.erase({*request.due, request.id});
  }
  if (due.has_value()) {
    queue_.emplace(*due, request.id);
  }
  request.due = due;
}

void RequestTable::Impl::Tick(Time now) {
  std::vector<RequestId> due;
  for (const auto& [time, id] : queue_) {
    if (time > now) {
      break;
    }
    due.push_back(id);
  }
  for (const RequestId& id : due) {
    if (HeldRequest* request = Find(id)) {
      OnDue(now, *request);
    }
  }
  if (beacon_due_.has_value() && *beacon_due_ <= now) {
    SendBeacons(now);
  }
  relays_.Tick(now);
  if (handover_) {
    relays_.MoveAll();
  }
}

void RequestTable::Impl::OnDue(Time now, HeldRequest& request) {
  const auto passed = [now](const std::optional<Time>& time) {
    return time.has_value() && *time <= now;
  };
  if (passed(request.drop_at)) {
    MoveFollowers(request, {});
    Drop(request, {.ownership = request.ownership,
                   .link = request.replica.number,
                   .moved_to = {},
                   .gone = true});
    return;
  }
  if (request.role == RequestRole::kReplica) {
    if (passed(request.check_at) && request.ended() && !draining_) {
      request.check_at.reset();  // It is dropped in time without a question.
    } else if (passed(request.check_at)) {
      AskHome(now, request);
    }
    Settle(now, request);
    return;
  }
  if (!request.ended() && passed(request.deadline)) {
    StopAttempt(request);
    End(now, request,
        {.status = MakeError(ResultCode::kDeadlinePassed,
                             fmt::format("Request {} did not end in time.",
                                         request.id.value())),
         .finish_reason = {}});
  }
  if (passed(request.hold_due)) {
    OnHoldTimeout(now, request);
    if (Find(request.id) != &request) {
      return;
    }
  }
  if (request.attempt.active && request.attempt.started) {
    const Duration bound = request.attempt.any_event
                               ? request.spec->stall_bound
                               : request.spec->first_event_bound;
    if (bound != Duration::zero() &&
        now >= request.attempt.last_progress + bound) {
      ++counts_.stalls;
      AvoidServer(request);
      StopAttempt(request);
      RetryLater(now, request,
                 MakeError(ResultCode::kStalled,
                           fmt::format("Request {} made no progress.",
                                       request.id.value())));
    }
  }
  if (passed(request.release_due)) {
    SendReleases(now, request);
  }
  if (passed(request.dispatch_at)) {
    Dispatch(now, request);
  }
  DropSilentFollowers(now, request);
  Settle(now, request);
}

std::optional<Time> RequestTable::Impl::next_due() const {
  std::optional<Time> due = relays_.next_due();
  if (beacon_due_.has_value() && (!due.has_value() || *beacon_due_ < *due)) {
    due = beacon_due_;
  }
  if (!queue_.empty() && (!due.has_value() || queue_.begin()->first < *due)) {
    due = queue_.begin()->first;
  }
  return due;
}

std::vector<RequestAction> RequestTable::Impl::TakeActions() {
  std::ranges::move(relays_.TakeActions(), std::back_inserter(actions_));
  for (RequestAction& action : actions_) {
    if (auto* send = std::get_if<SendRequestMessage>(&action)) {
      send->message.run = run_;
    }
  }
  return std::exchange(actions_, {});
}

void RequestTable::Impl::OnMessage(Time now, const InstanceId& from,
                                   const RequestMessage& message) {
  if (!NoteRun(now, from, message.run)) {
    return;
  }
  std::visit([&](const auto& body) { On(now, from, message, body); },
             message.body);
}

bool RequestTable::Impl::NoteRun(Time now, const InstanceId& from,
                                 uint64_t run) {
  PeerRun& known = peer_runs_[from];
  if (known.present == run) {
    return true;
  }
  if (std::ranges::find(known.past, run) != known.past.end()) {
    return false;
  }
  const uint64_t before = std::exchange(known.present, run);
  if (before != 0) {
    known.past.push_back(before);
    if (known.past.size() > kMaxPastRuns) {
      known.past.pop_front();
    }
    OnPeerRestart(now, from);
  }
  return true;
}

void RequestTable::Impl::OnPeerRestart(Time now, const InstanceId& peer) {
  for (const RequestId& id : AllIds()) {
    HeldRequest* request = Find(id);
    if (request == nullptr) {
      continue;
    }
    if (request->role == RequestRole::kReplica) {
      if (request->ownership.home == peer) {
        ++counts_.adopted_on_loss;
        Adopt(now, *request);
      }
      continue;
    }
    if (request->replica.id == peer) {
      LoseReplica(now, *request);
      if (Find(id) == request) {
        Settle(now, *request);
      }
    }
  }
}

void RequestTable::Impl::SendBeacons(Time now) {
  std::set<InstanceId> sharers;
  for (const auto& [id, request] : records_) {
    sharers.insert(request->role == RequestRole::kHome
                       ? request->replica.id
                       : request->ownership.home);
  }
  sharers.erase(InstanceId());
  for (const InstanceId& sharer : sharers) {
    SendAbout(sharer, {}, {}, 0, Beacon{});
  }
  beacon_due_.reset();
  if (!records_.empty()) {
    beacon_due_ = now + options_.timing.beacon;
  }
}

void RequestTable::Impl::On(Time /*now*/, const InstanceId& from,
                            const RequestMessage& /*message*/,
                            const Beacon& /*beacon*/) {
  SendAbout(from, {}, {}, 0, BeaconAnswer{});
}

void RequestTable::Impl::On(Time /*now*/, const InstanceId& /*from*/,
                            const RequestMessage& /*message*/,
                            const BeaconAnswer& /*answer*/) {}

std::vector<RequestId> RequestTable::Impl::AllIds() const {
  std::vector<RequestId> ids;
  ids.reserve(records_.size());
  for (const auto& [id, request] : records_) {
    ids.push_back(id);
  }
  return ids;
}

void RequestTable::Impl::Drain(Time now, bool handover) {
  draining_ = true;
  handover_ = handover_ || handover;
  if (handover_) {
    relays_.MoveAll();
  }
  for (const RequestId& id : AllIds()) {
    HeldRequest* request = Find(id);
    if (request == nullptr) {
      continue;
    }
    if (request->role == RequestRole::kReplica) {
      AskHome(now, *request);
    }
    Settle(now, *request);
  }
}

bool RequestTable::Impl::CanExit() const {
  return draining_ && records_.empty() && relays_.size() == 0;
}

bool RequestTable::Impl::IsUsable(const InstanceId& id) const {
  const auto peer = peers_.find(id);
  return peer != peers_.end() && peer->second.alive && !peer->second.leaving;
}

void RequestTable::Impl::Send(const InstanceId& to, const HeldRequest& request,
                              RequestMessageBody body) {
  SendAbout(to, request.id, request.ownership, request.replica.number,
            std::move(body));
}

void RequestTable::Impl::SendAbout(const InstanceId& to, const RequestId& id,
                                   const Ownership& ownership, uint64_t link,
                                   RequestMessageBody body) {
  actions_.push_back(SendRequestMessage{.to = to,
                                        .message = {.id = id,
                                                    .ownership = ownership,
                                                    .link = link,
                                                    .body = std::move(body)}});
}

std::optional<RequestView> RequestTable::Impl::Query(
    const RequestId& id) const {
  const HeldRequest* request = Find(id);
  if (request == nullptr) {
    return std::nullopt;
  }
  const uint64_t visible =
      request->role == RequestRole::kHome ? request->visible : request->size();
  return ViewOf(*request, visible);
}

std::optional<ServerId> RequestTable::Impl::ServerOf(
    const AttemptKey& key) const {
  const HeldRequest* request = Find(key.id);
  const bool current = request != nullptr && request->attempt.active &&
                       request->attempt.started &&
                       request->attempt_key() == key;
  return current ? std::optional(request->attempt.server) : std::nullopt;
}

std::vector<AttemptKey> RequestTable::Impl::AttemptsOn(
    const ServerId& server) const {
  std::vector<AttemptKey> keys;
  for (const auto& [id, request] : records_) {
    const RunningAttempt& attempt = request->attempt;
    if (attempt.active && attempt.started && attempt.server == server) {
      keys.push_back(request->attempt_key());
    }
  }
  return keys;
}

RequestGauges RequestTable::Impl::gauges() const {
  RequestGauges gauges;
  for (const auto& [id, request] : records_) {
    const bool home = request->role == RequestRole::kHome;
    gauges.homes += home ? 1 : 0;
    gauges.homes_running += home && !request->ended() ? 1 : 0;
    gauges.replicas += home ? 0 : 1;
  }
  gauges.followed_elsewhere = relays_.size();
  gauges.bytes = bytes_;
  return gauges;
}

RequestTable::RequestTable(RequestTableOptions options, uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(options), seed)) {}
RequestTable::~RequestTable() = default;
RequestTable::RequestTable(RequestTable&&) noexcept = default;
RequestTable& RequestTable::operator=(RequestTable&&) noexcept = default;

void RequestTable::SetPeers(Time now, std::span<const PeerView> peers) {
  impl_->SetPeers(now, peers);
}
absl::StatusOr<RequestId> RequestTable::Accept(Time now, RequestSpec spec) {
  return impl_->Accept(now, std::move(spec));
}
FollowerId RequestTable::Follow(Time now, const RequestId& id, uint64_t from,
                                FollowMode mode) {
  return impl_->Follow(now, id, from, mode);
}
void RequestTable::Unfollow(Time now, FollowerId follower) {
  impl_->Unfollow(now, follower);
}
FollowerId RequestTable::Cancel(Time now, const RequestId& id) {
  return impl_->Follow(now, id, 0, FollowMode::kCancel);
}
void RequestTable::OnMessage(Time now, const InstanceId& from,
                             const RequestMessage& message) {
  impl_->OnMessage(now, from, message);
}
void RequestTable::OnAttemptStarted(Time now, const AttemptKey& key,
                                    const ServerId& server) {
  impl_->OnAttemptStarted(now, key, server);
}
void RequestTable::OnTokens(Time now, const AttemptKey& key,
                            uint64_t first_index,
                            std::span<const std::string> tokens) {
  impl_->OnTokens(now, key, first_index, tokens);
}
void RequestTable::OnAttemptEnded(Time now, const AttemptKey& key,
                                  const AttemptOutcome& outcome) {
  impl_->OnAttemptEnded(now, key, outcome);
}
void RequestTable::OnServerLost(Time now, const ServerId& server) {
  impl_->OnServerLost(now, server);
}
void RequestTable::ResumeElsewhere(Time now, const AttemptKey& key) {
  impl_->ResumeElsewhere(now, key);
}
void RequestTable::Drain(Time now, bool handover) {
  impl_->Drain(now, handover);
}
bool RequestTable::CanExit() const { return impl_->CanExit(); }
bool RequestTable::draining() const { return impl_->draining(); }
void RequestTable::Tick(Time now) { impl_->Tick(now); }
std::optional<Time> RequestTable::next_due() const { return impl_->next_due(); }
std::vector<RequestAction> RequestTable::TakeActions() {
  return impl_->TakeActions();
}
std::optional<RequestView> RequestTable::Query(const RequestId& id) const {
  return impl_->Query(id);
}
std::optional<ServerId> RequestTable::ServerOf(const AttemptKey& key) const {
  return impl_->ServerOf(key);
}
std::vector<AttemptKey> RequestTable::AttemptsOn(const ServerId& server) const {
  return impl_->AttemptsOn(server);
}
const RequestCounts& RequestTable::counts() const { return impl_->counts(); }
RequestGauges RequestTable::gauges() const { return impl_->gauges(); }

}  // namespace oleander
