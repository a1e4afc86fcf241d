#include "oleander/requests.h"

#include <fmt/format.h>

#include <algorithm>
#include <ranges>

#include "oleander/invariant.h"
#include "oleander/result_code.h"
#include "parts/requests_impl.h"

namespace oleander {
namespace {

bool HasPassed(const std::optional<Time>& time, Time now) {
  return time.has_value() && *time <= now;
}

}  // namespace

RequestTable::Impl::Impl(RequestTableOptions options, uint64_t seed)
    : options_(std::move(options)),
      random_(seed),
      run_id_(random_()),
      relays_(options_, random_()) {}

absl::StatusOr<RequestId> RequestTable::Impl::Accept(Time now,
                                                     RequestSpec spec) {
  if (draining_) {
    return MakeError(
        ResultCode::kDraining,
        fmt::format("Instance {} is leaving.", options_.self.id.value()));
  }
  if (absl::Status capacity = CheckCapacity(spec); !capacity.ok()) {
    return capacity;
  }
  auto shared = std::make_shared<const RequestSpec>(std::move(spec));
  HeldRequest probe({}, shared, 0, options_);
  const bool single_copy = shared->replica == ReplicaRule::kNone;
  const std::optional<InstanceId> replica =
      single_copy ? std::nullopt : ChooseReplica(probe);
  if (!single_copy && !replica.has_value()) {
    return MakeError(
        ResultCode::kNoReplica,
        fmt::format("No reachable instance can hold a replica for {} under "
                    "profile {}.",
                    options_.self.id.value(), shared->profile.value()));
  }
  RequestId id = MakeRequestId(options_.self.id, replica.value_or(InstanceId()),
                               random_());
  HeldRequest& request = AddRecord(id, std::move(shared));
  request.ownership = {.epoch = 1, .home = options_.self.id};
  request.phase = RequestPhase::kAccepting;
  request.visible_moved = now;
  if (request.spec->deadline != Duration::zero()) {
    request.deadline = now + request.spec->deadline;
  }
  if (single_copy || options_.mutations.accept_without_ack) {
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
  FinishUpdate(now, request);
  return id;
}

void RequestTable::Impl::RefuseAccept(HeldRequest& request) {
  const bool may_run =
      request.ever_started || !request.possible_holders.empty();
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
  ReleasePossibleHolders(request);
  MoveFollowers(request, {});
  Drop(request, {.ownership = request.ownership,
                 .replica_number = request.replica.number,
                 .moved_to = {},
                 .removed = true});
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
  UpdateProfileCount(*slot, 1);
  UpdateByteCount(*slot);
  return *slot;
}

void RequestTable::Impl::Drop(HeldRequest& request, Tombstone tombstone) {
  const RequestId id = request.id;
  AddTombstone(id, std::move(tombstone));
  UpdateProfileCount(request, -1);
  bytes_ -= request.counted_bytes;
  profiles_[request.spec->profile].bytes -= request.counted_bytes;
  if (request.due.has_value()) {
    due_queue_.erase({*request.due, id});
  }
  for (const LocalFollower& follower : request.local_followers) {
    local_follower_requests_.erase(follower.id);
  }
  records_.erase(id);
}

void RequestTable::Impl::AddTombstone(const RequestId& id,
                                      Tombstone tombstone) {
  const auto [entry, added] =
      tombstones_.insert_or_assign(id, std::move(tombstone));
  if (added) {
    tombstone_order_.push_back(id);
  }
  while (tombstone_order_.size() > options_.limits.max_tombstones) {
    tombstones_.erase(tombstone_order_.front());
    tombstone_order_.pop_front();
  }
}

absl::Status RequestTable::Impl::CheckCapacity(const RequestSpec& spec) const {
  const int64_t bytes = ReservedBytes(spec, options_.limits);
  const auto full = [&](std::string_view unit, int64_t limit) {
    return MakeError(ResultCode::kMemoryFull,
                     fmt::format("Instance {} would exceed its limit of {} {}.",
                                 options_.self.id.value(), limit, unit));
  };
  if (records_.size() >= options_.limits.max_requests) {
    return full("requests", static_cast<int64_t>(options_.limits.max_requests));
  }
  if (bytes_ + bytes > options_.limits.max_bytes) {
    return full("bytes of requests", options_.limits.max_bytes);
  }
  const auto found = profiles_.find(spec.profile);
  const ProfileUse use =
      found == profiles_.end() ? ProfileUse() : found->second;
  if (spec.max_requests > 0 && use.requests >= spec.max_requests) {
    return full(fmt::format("requests of profile {}", spec.profile.value()),
                spec.max_requests);
  }
  if (spec.max_bytes > 0 && use.bytes + bytes > spec.max_bytes) {
    return full(fmt::format("bytes of profile {}", spec.profile.value()),
                spec.max_bytes);
  }
  return absl::OkStatus();
}

void RequestTable::Impl::UpdateByteCount(HeldRequest& request) {
  const int64_t bytes = BytesOf(request, options_.limits);
  const int64_t change = bytes - std::exchange(request.counted_bytes, bytes);
  bytes_ += change;
  profiles_[request.spec->profile].bytes += change;
}

void RequestTable::Impl::UpdateProfileCount(const HeldRequest& request,
                                            int sign) {
  profiles_[request.spec->profile].requests += sign;
}

void RequestTable::Impl::FinishUpdate(Time now, HeldRequest& request) {
  if (request.role == RequestRole::kHome) {
    AdvanceVisible(now, request);
    FlushLocal(request);
    FlushRemote(now, request);
    if (request.superseded_by.has_value() && !HasFollowers(request)) {
      StopAttempt(request);
      Drop(request, {.ownership = request.ownership,
                     .replica_number = request.replica.number,
                     .moved_to = *request.superseded_by,
                     .removed = false});
      return;
    }
    SendProgressIfDue(now, request);
    HandOverIfReady(now, request);
    if (Find(request.id) != &request) {
      return;
    }
  }
  UpdateByteCount(request);
  Reschedule(request);
  if (!beacon_due_.has_value()) {
    beacon_due_ = now + options_.timing.beacon_interval;
  }
}

void RequestTable::Impl::Reschedule(HeldRequest& request) {
  const std::optional<Time> due = NextDue(request, options_.timing);
  if (due == request.due) {
    return;
  }
  if (request.due.has_value()) {
    due_queue_.erase({*request.due, request.id});
  }
  if (due.has_value()) {
    due_queue_.emplace(*due, request.id);
  }
  request.due = due;
}

void RequestTable::Impl::Tick(Time now) {
  std::vector<RequestId> due;
  for (const auto& [time, id] : due_queue_) {
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
    relays_.MoveAllReaders();
  }
}

void RequestTable::Impl::OnDue(Time now, HeldRequest& request) {
  if (HasPassed(request.drop_at, now)) {
    MoveFollowers(request, {});
    Drop(request, {.ownership = request.ownership,
                   .replica_number = request.replica.number,
                   .moved_to = {},
                   .removed = true});
    return;
  }
  if (request.role == RequestRole::kReplica) {
    OnReplicaDue(now, request);
  } else {
    OnHomeDue(now, request);
  }
  if (Find(request.id) == &request) {
    FinishUpdate(now, request);
  }
}

void RequestTable::Impl::OnReplicaDue(Time now, HeldRequest& request) {
  if (!HasPassed(request.check_at, now)) {
    return;
  }
  if (request.ended() && !draining_) {
    request.check_at.reset();  // It is dropped at drop_at without a check.
  } else {
    SendReplicaStatus(now, request);
  }
}

void RequestTable::Impl::OnHomeDue(Time now, HeldRequest& request) {
  if (!request.ended() && HasPassed(request.deadline, now)) {
    StopAttempt(request);
    End(now, request,
        {.status =
             MakeError(ResultCode::kDeadlinePassed,
                       fmt::format("Request {} did not end by its deadline.",
                                   request.id.value())),
         .finish_reason = {}});
  }
  ResumeIfStalled(now, request);
  if (HasPassed(request.release_due, now)) {
    SendReleases(now, request);
  }
  if (HasPassed(request.dispatch_at, now)) {
    Dispatch(now, request);
  }
  DropTimedOutFollowers(now, request);
  if (HasPassed(request.hold_due, now)) {
    OnHoldTimeout(now, request);  // May drop the record.
  }
}

std::optional<Time> RequestTable::Impl::next_due() const {
  std::optional<Time> due = relays_.next_due();
  if (beacon_due_.has_value() && (!due.has_value() || *beacon_due_ < *due)) {
    due = beacon_due_;
  }
  if (!due_queue_.empty() &&
      (!due.has_value() || due_queue_.begin()->first < *due)) {
    due = due_queue_.begin()->first;
  }
  return due;
}

std::vector<RequestAction> RequestTable::Impl::TakeActions() {
  std::ranges::move(relays_.TakeActions(), std::back_inserter(actions_));
  for (RequestAction& action : actions_) {
    if (auto* send = std::get_if<SendRequestMessage>(&action)) {
      send->message.run_id = run_id_;
    }
  }
  return std::exchange(actions_, {});
}

void RequestTable::Impl::OnMessage(Time now, const InstanceId& from,
                                   const RequestMessage& message) {
  if (!UpdatePeerRun(now, from, message.run_id)) {
    return;
  }
  std::visit([&](const auto& body) { On(now, from, message, body); },
             message.body);
}

void RequestTable::Impl::Drain(Time now, bool handover) {
  draining_ = true;
  handover_ = handover_ || handover;
  if (handover_) {
    relays_.MoveAllReaders();
  }
  for (const RequestId& id : AllIds()) {
    HeldRequest* request = Find(id);
    if (request == nullptr) {
      continue;
    }
    if (request->role == RequestRole::kReplica) {
      SendReplicaStatus(now, *request);
    }
    FinishUpdate(now, *request);
  }
}

bool RequestTable::Impl::CanExit() const {
  return draining_ && records_.empty() && relays_.size() == 0;
}

void RequestTable::Impl::Send(const InstanceId& to, const HeldRequest& request,
                              RequestMessageBody body) {
  SendMessage(to, request.id, request.ownership, request.replica.number,
              std::move(body));
}

void RequestTable::Impl::SendMessage(const InstanceId& to, const RequestId& id,
                                     const Ownership& ownership,
                                     uint64_t replica_number,
                                     RequestMessageBody body) {
  actions_.push_back(
      SendRequestMessage{.to = to,
                         .message = {.id = id,
                                     .ownership = ownership,
                                     .replica_number = replica_number,
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
  gauges.relays = relays_.size();
  gauges.bytes = bytes_;
  return gauges;
}

}  // namespace oleander
