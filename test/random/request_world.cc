#include "random/request_world.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <array>

#include "oleander/invariant.h"
#include "oleander/result_code.h"

namespace oleander::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kDomains = 3;
constexpr int kInstances = 6;
constexpr int kServers = 4;
constexpr Duration kSuspicionTimeout = seconds(3);
constexpr Duration kReclaimNotice = seconds(4);
constexpr Duration kReplacementDelay = seconds(2);
// Upper bound of the time to create a second copy again after a loss without
// notice.
constexpr Duration kRecoveryTime = seconds(10);
constexpr Duration kDrainTime = seconds(120);
constexpr Duration kAnswerRetention = seconds(60);

uint64_t Hash(std::string_view text) {
  return XXH3_64bits(text.data(), text.size());
}

// Returns one token of an engine's answer. It contains a hash of the text
// before it, so that a reader can check that all tokens belong together.
std::string TokenFor(std::string_view prompt, std::string_view text_before,
                     uint64_t index, uint64_t salt) {
  const uint64_t before = Hash(fmt::format("{}|{}", prompt, text_before));
  return fmt::format("{}:{:x}:{:x} ", index, before, salt);
}

// Returns whether `events` is a complete answer of `tokens` tokens to `prompt`.
// A token's own salt isn't compared, but the hashes of later tokens cover it.
bool IsWholeAnswer(std::string_view prompt,
                   const std::vector<std::string>& events, int64_t tokens) {
  std::string text;
  for (size_t i = 0; i < events.size(); ++i) {
    const size_t salt_at = events[i].rfind(':');
    const std::string expected = TokenFor(prompt, text, i, 0);
    const size_t expected_salt = expected.rfind(':');
    if (salt_at == std::string::npos ||
        events[i].substr(0, salt_at) != expected.substr(0, expected_salt)) {
      return false;
    }
    text += events[i];
  }
  return static_cast<int64_t>(events.size()) == tokens;
}

struct Instance {
  InstanceInfo info;
  std::unique_ptr<RequestTable> table;
  bool up = false;
  bool paused = false;
  uint64_t run = 0;
  Time last_responsive;  // When the process last could respond.
  bool leaving = false;
  bool exited = false;  // Exited in order: removed from membership.
  std::vector<std::function<void()>> deferred_calls;
  std::optional<Time> tick_at;
};

struct Attempt {
  AttemptKey key;
  int instance = 0;
  uint64_t run = 0;
  int server = 0;
  std::string prompt;
  std::string text;
  uint64_t next = 0;
  int64_t tokens = 0;
  uint64_t salt = 0;
  bool cancelled = false;
};

struct Caller {
  std::string prompt;
  int64_t tokens = 0;
  int instance = 0;
  uint64_t run = 0;
  std::optional<RequestId> id;
  bool accepted = false;
  bool refused = false;
  bool refused_not_run = false;
  bool done = false;
  std::optional<FollowerId> follower;
  uint64_t follow_generation = 0;
  std::vector<std::string> events;
};

class World {
 public:
  explicit World(const RequestWorldOptions& options)
      : options_(options), draw_(options.seed) {}

  RequestWorldReport Run();

 private:
  // Instances.
  void StartInstance(int index);
  void Kill(int index);
  void Call(int index, std::function<void(RequestTable&)> call);
  void Perform(int index);
  void ScheduleTick(int index);
  void UpdateMembership();
  bool Reachable(int a, int b) const;
  int DrawRunningInstance();

  // Actions.
  void Execute(int index, const SendRequestMessage& action);
  void Execute(int index, const RequestAccepted& action);
  void Execute(int index, const RequestRefused& action);
  void Execute(int index, const DispatchAttempt& action);
  void Execute(int index, const CancelAttempt& action);
  void Execute(int index, const DeliverEvents& action);
  void Execute(int index, const FollowerEnded& action);
  void Execute(int index, const FollowerMoved& action);
  void Execute(int, const SnapshotReady&) {}

  // Engines.
  void Generate(const std::shared_ptr<Attempt>& attempt);
  void EndAttempt(const Attempt& attempt, const absl::Status& status);

  // Callers.
  void Submit(int caller);
  void Attach(int caller, int instance);
  void Reattach(int caller, Duration delay);
  Caller* FollowerOf(int index, FollowerId follower);
  void CheckEnd(Caller& caller, const RequestEnd& end);
  void Fault(const PlannedFault& fault);
  bool ReserveCopyLoss();
  void RecordViolation(int& count, std::string description);
  void ExtendDisturbance(Duration length) {
    disturbed_until_ =
        std::max(disturbed_until_, time_.now() + length + kSuspicionTimeout);
  }

  RequestWorldOptions options_;
  Draw draw_;
  VirtualTime time_;
  RequestWorldReport report_;
  std::array<Instance, kInstances> instances_;
  std::array<bool, kServers> server_silent_{};
  std::map<int, std::set<std::shared_ptr<Attempt>>> attempts_;
  std::vector<Caller> callers_;
  std::map<std::pair<int, FollowerId>, int> followers_;
  std::map<RequestId, int> by_id_;
  std::set<std::string> attempt_names_;
  std::set<RequestId> started_;
  std::map<RequestId, uint64_t> computed_;
  std::optional<int> partitioned_domain_;
  Time copies_restored_at_;
  // Until this time an instance was paused or disconnected, so that others may
  // have waited for its replies.
  Time disturbed_until_{-std::chrono::hours(1)};
};

RequestWorldReport World::Run() {
  const InvariantHandler before =
      SetInvariantHandler([&](const InvariantFailure& failure) {
        if (report_.first_violation.empty()) {
          report_.first_violation = failure.name + ": " + failure.message;
        }
      });
  const uint64_t failures_before = invariant_failures();
  for (int i = 0; i < kInstances; ++i) {
    instances_[i].info = {
        .id = InstanceId(fmt::format("entry-{}", i)),
        .location = {.region = RegionId("r"),
                     .domain = DomainId(fmt::format("d{}", i % kDomains))},
        .address = "127.0.0.1",
        .http_port = 0,
        .mesh_port = 0};
    StartInstance(i);
  }
  UpdateMembership();
  callers_.resize(static_cast<size_t>(options_.requests));
  for (int i = 0; i < options_.requests; ++i) {
    time_.At(Time{} + draw_.Between(milliseconds(10), options_.load_time),
             [this, i] { Submit(i); });
  }
  Duration at = seconds(2);
  for (const PlannedFault& fault : options_.faults) {
    at += milliseconds(fault.after_ms);
    time_.At(Time{} + at, [this, fault] { Fault(fault); });
  }
  const Time end = Time{} + std::max(options_.load_time, at) + kDrainTime;
  report_.events = time_.RunUntil(end);
  for (Caller& caller : callers_) {
    report_.accepted += caller.accepted ? 1 : 0;
    report_.refused += caller.refused ? 1 : 0;
    if (caller.accepted && !caller.done) {
      RecordViolation(
          report_.lost,
          fmt::format("Request {} was accepted and has no complete answer.",
                      caller.id->value()));
    }
    if (caller.refused_not_run && started_.contains(*caller.id)) {
      RecordViolation(
          report_.not_run_but_ran,
          fmt::format(
              "Request {} ran although its refusal said that it did not.",
              caller.id->value()));
    }
  }
  report_.events += time_.RunUntil(end + 3 * kAnswerRetention);
  for (const Instance& instance : instances_) {
    if (!instance.up) {
      continue;
    }
    const RequestGauges gauges = instance.table->gauges();
    if (gauges.homes + gauges.replicas + gauges.relays > 0 ||
        gauges.bytes != 0) {
      RecordViolation(
          report_.still_held,
          fmt::format("{} still holds {} homes, {} replicas, {} relays, {} "
                      "bytes.",
                      instance.info.id.value(), gauges.homes, gauges.replicas,
                      gauges.relays, gauges.bytes));
    }
    report_.adoptions += instance.table->counts().adopted_on_loss +
                         instance.table->counts().adopted_on_handover;
    report_.step_downs += instance.table->counts().stepped_down;
  }
  report_.invariant_failures = invariant_failures() - failures_before;
  SetInvariantHandler(before);
  return report_;
}

void World::RecordViolation(int& count, std::string description) {
  ++count;
  if (report_.first_violation.empty()) {
    report_.first_violation = std::move(description);
  }
}

void World::StartInstance(int index) {
  Instance& instance = instances_[index];
  RequestTableOptions options;
  options.self = instance.info;
  options.mutations = options_.mutations;
  if (options_.sampled_output) {
    // No event may be delivered to a caller before the replica holds it.
    options.timing.replica_lag_bound = std::chrono::hours(1);
  }
  instance.table = std::make_unique<RequestTable>(options, draw_.Seed());
  instance.up = true;
  instance.paused = false;
  instance.leaving = false;
  instance.exited = false;
  instance.deferred_calls.clear();
  instance.tick_at.reset();
  ++instance.run;
}

void World::Kill(int index) {
  Instance& instance = instances_[index];
  if (!instance.up) {
    return;
  }
  instance.up = false;
  instance.last_responsive = time_.now();
  instance.deferred_calls.clear();
  report_.adoptions += instance.table->counts().adopted_on_loss +
                       instance.table->counts().adopted_on_handover;
  report_.step_downs += instance.table->counts().stepped_down;
  for (int caller = 0; caller < std::ssize(callers_); ++caller) {
    if (callers_[caller].instance == index && callers_[caller].follower) {
      Reattach(caller, milliseconds(50));
    }
  }
  time_.After(draw_.Between(milliseconds(300), 2 * kReplacementDelay),
              [this, index] { StartInstance(index); });
}

bool World::Reachable(int a, int b) const {
  if (!partitioned_domain_.has_value()) {
    return true;
  }
  return (a % kDomains == *partitioned_domain_) ==
         (b % kDomains == *partitioned_domain_);
}

void World::UpdateMembership() {
  const Time now = time_.now();
  for (Instance& instance : instances_) {
    if (instance.up && !instance.paused) {
      instance.last_responsive = now;
    }
  }
  static constexpr Duration kPeriod = milliseconds(250);
  for (int i = 0; i < kInstances; ++i) {
    std::vector<PeerView> view;
    for (int j = 0; j < kInstances; ++j) {
      const Instance& peer = instances_[j];
      if (i == j || (peer.exited && !peer.up)) {
        continue;
      }
      const bool responsive =
          now - peer.last_responsive < kSuspicionTimeout && Reachable(i, j);
      view.push_back(
          {.info = peer.info, .alive = responsive, .leaving = peer.leaving});
    }
    Call(i, [this, view](RequestTable& table) {
      table.SetPeers(time_.now(), view);
    });
  }
  time_.After(kPeriod, [this] { UpdateMembership(); });
}

void World::Call(int index, std::function<void(RequestTable&)> call) {
  Instance& instance = instances_[index];
  if (!instance.up) {
    return;
  }
  if (instance.paused) {
    instance.deferred_calls.emplace_back(
        [this, index, call = std::move(call)] { Call(index, call); });
    return;
  }
  call(*instance.table);
  Perform(index);
}

void World::Perform(int index) {
  for (const RequestAction& action : instances_[index].table->TakeActions()) {
    std::visit([&](const auto& one) { Execute(index, one); }, action);
  }
  ScheduleTick(index);
}

void World::ScheduleTick(int index) {
  Instance& instance = instances_[index];
  const std::optional<Time> due = instance.table->next_due();
  if (!due.has_value() ||
      (instance.tick_at.has_value() && *instance.tick_at <= *due)) {
    return;
  }
  instance.tick_at = due;
  const uint64_t run = instance.run;
  time_.At(*due, [this, index, run, due] {
    Instance& target = instances_[index];
    if (target.run != run || target.tick_at != due) {
      return;
    }
    target.tick_at.reset();
    Call(index, [this](RequestTable& table) { table.Tick(time_.now()); });
  });
}

void World::Execute(int index, const SendRequestMessage& action) {
  const auto to = std::ranges::find(
      instances_, action.to,
      [](const Instance& instance) { return instance.info.id; });
  if (to == instances_.end()) {
    return;
  }
  const int target = static_cast<int>(to - instances_.begin());
  const int copies = draw_.Chance(options_.duplicate_rate) ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    if (draw_.Chance(options_.drop_rate)) {
      continue;
    }
    Duration delay =
        draw_.Between(milliseconds(0), milliseconds(3)) + Duration(500);
    if (draw_.Chance(options_.delay_rate)) {
      delay += draw_.Between(milliseconds(5), milliseconds(600));
    }
    const InstanceId from = instances_[index].info.id;
    time_.After(delay, [this, index, target, from, message = action.message] {
      if (!Reachable(index, target)) {
        return;
      }
      Call(target, [this, from, message](RequestTable& table) {
        table.OnMessage(time_.now(), from, message);
      });
    });
  }
}

void World::Submit(int index) {
  Caller& caller = callers_[index];
  const int instance = DrawRunningInstance();
  if (instance < 0) {
    return;
  }
  caller.prompt = fmt::format("prompt {}", index);
  caller.tokens = 1 + static_cast<int64_t>(draw_.Below(120));
  caller.instance = instance;
  caller.run = instances_[instance].run;
  RequestSpec spec;
  spec.service = ServiceId("model");
  spec.profile = ProfileName("p");
  spec.workspace = WorkspaceId("w");
  spec.body = caller.prompt;
  spec.max_tokens = caller.tokens;
  spec.stall_bound = seconds(2);
  spec.first_event_bound = seconds(3);
  spec.replica = options_.replica;
  spec.answer_retention = kAnswerRetention;
  Call(instance, [this, index, spec](RequestTable& table) {
    const absl::StatusOr<RequestId> id = table.Accept(time_.now(), spec);
    Caller& one = callers_[index];
    if (!id.ok()) {
      one.refused = true;
      return;
    }
    one.id = *id;
    by_id_[*id] = index;
  });
}

void World::Execute(int index, const RequestAccepted& action) {
  const int caller = by_id_.at(action.id);
  callers_[caller].accepted = true;
  Attach(caller, index);
}

void World::Execute(int /*index*/, const RequestRefused& action) {
  Caller& caller = callers_[by_id_.at(action.id)];
  caller.refused = true;
  caller.refused_not_run = DetailsOf(action.status).ran == Ran::kNo;
}

void World::Attach(int index, int instance) {
  Caller& caller = callers_[index];
  if (caller.done) {
    return;
  }
  caller.instance = instance;
  caller.run = instances_[instance].run;
  const uint64_t generation = ++caller.follow_generation;
  caller.follower.reset();
  // Deferred, because Perform() must not call back into the table.
  time_.After(Duration(1), [this, index, instance, generation] {
    Call(instance, [this, index, instance, generation](RequestTable& table) {
      Caller& one = callers_[index];
      if (one.follow_generation != generation) {
        return;
      }
      const FollowerId follower = table.Follow(
          time_.now(), *one.id, one.events.size(), FollowMode::kStream);
      one.follower = follower;
      followers_[{instance, follower}] = index;
    });
  });
  // A caller whose instance failed or doesn't respond tries another one.
  time_.After(seconds(15), [this, index, generation] {
    Caller& one = callers_[index];
    if (one.follow_generation == generation && !one.done) {
      const Instance& at = instances_[one.instance];
      if (!at.up || at.paused || at.run != one.run || !one.follower) {
        Reattach(index, Duration(0));
      }
    }
  });
}

void World::Reattach(int index, Duration delay) {
  Caller& caller = callers_[index];
  caller.follower.reset();
  const uint64_t generation = ++caller.follow_generation;
  time_.After(delay, [this, index, generation] {
    if (callers_[index].follow_generation != generation) {
      return;
    }
    const int instance = DrawRunningInstance();
    if (instance >= 0) {
      Attach(index, instance);
    } else {
      Reattach(index, milliseconds(500));
    }
  });
}

int World::DrawRunningInstance() {
  std::vector<int> up;
  for (int i = 0; i < kInstances; ++i) {
    if (instances_[i].up && !instances_[i].paused) {
      up.push_back(i);
    }
  }
  return up.empty() ? -1 : up[draw_.Below(up.size())];
}

Caller* World::FollowerOf(int index, FollowerId follower) {
  const auto found = followers_.find({index, follower});
  if (found == followers_.end()) {
    return nullptr;
  }
  Caller& caller = callers_[found->second];
  const bool current = caller.follower == follower &&
                       caller.instance == index &&
                       caller.run == instances_[index].run;
  return current ? &caller : nullptr;
}

void World::Execute(int index, const DeliverEvents& action) {
  Caller* caller = FollowerOf(index, action.follower);
  if (caller == nullptr) {
    return;
  }
  if (action.first_index != caller->events.size() || action.id != *caller->id) {
    RecordViolation(
        report_.wrong_answer,
        fmt::format("Request {} received event {} although the caller has {}.",
                    action.id.value(), action.first_index,
                    caller->events.size()));
  }
  caller->events.insert(caller->events.end(), action.events.begin(),
                        action.events.end());
}

void World::Execute(int index, const FollowerEnded& action) {
  Caller* caller = FollowerOf(index, action.follower);
  if (caller == nullptr) {
    return;
  }
  CheckEnd(*caller, action.end);
}

void World::CheckEnd(Caller& caller, const RequestEnd& end) {
  if (!end.status.ok()) {
    if (CodeOf(end.status) == ResultCode::kUnknownRequest) {
      Reattach(static_cast<int>(&caller - callers_.data()), seconds(1));
      return;
    }
    caller.done = true;
    RecordViolation(report_.lost,
                    fmt::format("Request {} failed: {}", caller.id->value(),
                                end.status.ToString()));
    return;
  }
  caller.done = true;
  caller.follower.reset();
  ++report_.answered;
  if (!IsWholeAnswer(caller.prompt, caller.events, caller.tokens)) {
    RecordViolation(
        report_.wrong_answer,
        fmt::format("Request {} ended with {} events that are not the answer "
                    "of {} tokens.",
                    caller.id->value(), caller.events.size(), caller.tokens));
  }
}

void World::Execute(int index, const FollowerMoved& action) {
  Caller* caller = FollowerOf(index, action.follower);
  if (caller == nullptr) {
    return;
  }
  ++report_.moved;
  const int position = static_cast<int>(caller - callers_.data());
  const auto to = std::ranges::find(
      instances_, action.to,
      [](const Instance& instance) { return instance.info.id; });
  const int target = static_cast<int>(to - instances_.begin());
  if (instances_[target].up) {
    Attach(position, target);
  } else {
    Reattach(position, milliseconds(100));
  }
}

void World::Execute(int index, const DispatchAttempt& action) {
  auto attempt = std::make_shared<Attempt>();
  attempt->key = action.key;
  attempt->instance = index;
  attempt->run = instances_[index].run;
  attempt->prompt = action.spec->body;
  attempt->text = action.resume_text;
  attempt->next = action.resume_from;
  attempt->tokens = action.spec->max_tokens;
  attempt->salt = options_.sampled_output ? draw_.Seed() : 0;
  attempt->server = static_cast<int>(draw_.Below(kServers));
  for (int i = 0; i < kServers; ++i) {
    const ServerId id(fmt::format("s{}", attempt->server));
    if (std::ranges::find(action.avoid, id) == action.avoid.end()) {
      break;
    }
    attempt->server = (attempt->server + 1) % kServers;
  }
  attempts_[index].insert(attempt);
  time_.After(
      draw_.Between(milliseconds(0), milliseconds(30)), [this, index, attempt] {
        if (attempt->cancelled) {
          return;
        }
        Call(index, [this, attempt](RequestTable& table) {
          if (attempt->cancelled) {
            return;
          }
          const ServerId server(fmt::format("s{}", attempt->server));
          table.OnAttemptStarted(time_.now(), attempt->key, server);
          started_.insert(attempt->key.id);
          const std::string name =
              AttemptName(attempt->key, instances_[attempt->instance].info.id);
          const std::string any_home =
              fmt::format("{}|{}|{}", attempt->key.id.value(),
                          attempt->key.epoch, attempt->key.attempt);
          if (!attempt_names_.insert(name).second ||
              (options_.mutations.reuse_attempt_number &&
               !attempt_names_.insert(any_home).second)) {
            RecordViolation(report_.attempt_names_reused,
                            "Attempt " + name + " was started twice.");
          }
          Generate(attempt);
        });
      });
}

void World::Execute(int index, const CancelAttempt& action) {
  for (const auto& attempt : attempts_[index]) {
    if (attempt->key == action.key && attempt->run == instances_[index].run) {
      attempt->cancelled = true;
    }
  }
}

// Generates the attempt's next tokens. The engine continues after a
// cancellation, and some of its events arrive late, duplicated or out of order.
void World::Generate(const std::shared_ptr<Attempt>& attempt) {
  const bool ended = instances_[attempt->instance].run != attempt->run ||
                     !instances_[attempt->instance].up;
  if (ended) {
    attempts_[attempt->instance].erase(attempt);
    return;
  }
  if (server_silent_[attempt->server]) {
    return;  // The attempt stalls without an error.
  }
  const auto count = static_cast<int64_t>(1 + draw_.Below(4));
  for (int64_t i = 0; i < count; ++i) {
    if (static_cast<int64_t>(attempt->next) >= attempt->tokens) {
      break;
    }
    const uint64_t index = attempt->next++;
    const std::string token =
        TokenFor(attempt->prompt, attempt->text, index, attempt->salt);
    attempt->text += token;
    report_.recomputed += computed_[attempt->key.id] > index ? 1 : 0;
    computed_[attempt->key.id] =
        std::max(computed_[attempt->key.id], index + 1);
    const int copies = draw_.Chance(0.02) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      Duration delay = milliseconds(1);
      if (draw_.Chance(0.02)) {
        delay += draw_.Between(milliseconds(0), milliseconds(40));
      }
      time_.After(delay, [this, attempt, index, token] {
        if (instances_[attempt->instance].run != attempt->run) {
          return;
        }
        Call(attempt->instance,
             [this, attempt, index, token](RequestTable& table) {
               table.OnTokens(time_.now(), attempt->key, index,
                              std::vector<std::string>{token});
             });
      });
    }
  }
  if (static_cast<int64_t>(attempt->next) >= attempt->tokens) {
    time_.After(milliseconds(50), [this, attempt] {
      EndAttempt(*attempt, absl::OkStatus());
      attempts_[attempt->instance].erase(attempt);
    });
    return;
  }
  time_.After(draw_.Between(milliseconds(10), milliseconds(60)),
              [this, attempt] { Generate(attempt); });
}

void World::EndAttempt(const Attempt& attempt, const absl::Status& status) {
  if (instances_[attempt.instance].run != attempt.run) {
    return;
  }
  AttemptOutcome outcome{.status = status,
                         .finish_reason = "stop",
                         .total_events = std::nullopt,
                         .retryable = true};
  if (status.ok()) {
    outcome.total_events = static_cast<uint64_t>(attempt.tokens);
  }
  Call(attempt.instance,
       [this, key = attempt.key, outcome](RequestTable& table) {
         table.OnAttemptEnded(time_.now(), key, outcome);
       });
}

// Returns whether a fault may destroy a copy of a request, and if so reserves
// the recovery time. Allowed only while every request has two copies.
bool World::ReserveCopyLoss() {
  if (time_.now() < copies_restored_at_ || partitioned_domain_.has_value()) {
    return false;
  }
  copies_restored_at_ = time_.now() + kRecoveryTime;
  return true;
}

void World::Fault(const PlannedFault& fault) {
  const int index = fault.target % kInstances;
  Instance& instance = instances_[index];
  const bool present = instance.up && !instance.paused && !instance.leaving;
  const uint64_t run = instance.run;
  const auto still = [this, index, run] {
    return instances_[index].run == run && instances_[index].up;
  };
  switch (fault.kind) {
    case RequestFault::kCrash:
      if (present && ReserveCopyLoss()) {
        Kill(index);
      }
      return;
    case RequestFault::kReclaim:
    case RequestFault::kReclaimCrash: {
      const bool crash = fault.kind == RequestFault::kReclaimCrash;
      if (!present || !ReserveCopyLoss()) {
        return;
      }
      instance.leaving = true;
      Call(index, [this](RequestTable& table) {
        table.Drain(time_.now(), /*handover=*/true);
      });
      const Duration left =
          crash ? milliseconds(fault.target % 40) : kReclaimNotice;
      time_.After(left, [this, index, still, crash] {
        if (!still()) {
          return;
        }
        const RequestTable& table = *instances_[index].table;
        const bool undisturbed =
            disturbed_until_ < time_.now() - kReclaimNotice;
        if (!crash && undisturbed && !table.CanExit()) {
          RecordViolation(report_.exits_refused,
                          fmt::format("{} can't exit at the end of its notice.",
                                      instances_[index].info.id.value()));
        }
        instances_[index].exited = !crash;
        Kill(index);
      });
      return;
    }
    case RequestFault::kGracefulStop: {
      if (!present || !ReserveCopyLoss()) {
        return;
      }
      instance.leaving = true;
      Call(index, [this](RequestTable& table) {
        table.Drain(time_.now(), /*handover=*/false);
      });
      const auto wait = std::make_shared<std::function<void(int)>>();
      *wait = [this, index, still, wait](int tries) {
        if (!still()) {
          return;
        }
        if (instances_[index].table->CanExit()) {
          instances_[index].exited = true;
          Kill(index);
        } else if (tries == 0) {
          RecordViolation(
              report_.exits_refused,
              fmt::format("{} could not exit after a graceful stop.",
                          instances_[index].info.id.value()));
        } else {
          copies_restored_at_ =
              std::max(copies_restored_at_, time_.now() + kRecoveryTime);
          time_.After(milliseconds(200), [wait, tries] { (*wait)(tries - 1); });
        }
      };
      (*wait)(500);
      return;
    }
    case RequestFault::kPause: {
      if (!present) {
        return;
      }
      instance.paused = true;
      const Duration length = milliseconds(200 + 300 * (fault.target % 30));
      ExtendDisturbance(length);
      time_.After(length, [this, index, still] {
        if (!still()) {
          return;
        }
        Instance& one = instances_[index];
        one.paused = false;
        one.last_responsive = time_.now();
        for (const auto& call : std::exchange(one.deferred_calls, {})) {
          call();
        }
      });
      return;
    }
    case RequestFault::kPartition:
      if (!partitioned_domain_.has_value() && ReserveCopyLoss()) {
        partitioned_domain_ = fault.target % kDomains;
        ExtendDisturbance(milliseconds(500 + 400 * (fault.target % 20)));
        time_.After(milliseconds(500 + 400 * (fault.target % 20)), [this] {
          partitioned_domain_.reset();
          copies_restored_at_ = time_.now() + kRecoveryTime;
        });
      }
      return;
    case RequestFault::kServerCrash: {
      const int server = fault.target % kServers;
      std::vector<std::shared_ptr<Attempt>> affected;
      for (const auto& [at, attempts] : attempts_) {
        std::ranges::copy_if(
            attempts, std::back_inserter(affected),
            [&](const auto& attempt) { return attempt->server == server; });
      }
      for (const auto& attempt : affected) {
        EndAttempt(*attempt,
                   MakeError(ResultCode::kServerFailed, "The server crashed."));
      }
      return;
    }
    case RequestFault::kServerSilent: {
      const int server = fault.target % kServers;
      server_silent_[server] = true;
      time_.After(seconds(4),
                  [this, server] { server_silent_[server] = false; });
      return;
    }
  }
}

}  // namespace

RequestWorldReport RunRequestWorld(const RequestWorldOptions& options) {
  return World(options).Run();
}

std::vector<PlannedFault> DrawFaults(uint64_t seed, int count,
                                     const std::vector<RequestFault>& kinds) {
  Draw draw(seed);
  std::vector<PlannedFault> faults;
  faults.reserve(static_cast<size_t>(count));
  for (int i = 0; i < count; ++i) {
    faults.push_back({.after_ms = static_cast<int>(draw.Below(4000)),
                      .kind = kinds[draw.Below(kinds.size())],
                      .target = static_cast<int>(draw.Below(60))});
  }
  return faults;
}

std::string Describe(const RequestWorldReport& r) {
  return fmt::format(
      "accepted {} refused {} answered {} lost {} wrong_answer {} "
      "not_run_but_ran {} names_reused {} exits_refused {} left_over {} "
      "invariants {} adoptions {} step_downs {} moved {} recomputed {} "
      "events {}; first: {}",
      r.accepted, r.refused, r.answered, r.lost, r.wrong_answer,
      r.not_run_but_ran, r.attempt_names_reused, r.exits_refused, r.still_held,
      r.invariant_failures, r.adoptions, r.step_downs, r.moved, r.recomputed,
      r.events, r.first_violation);
}

}  // namespace oleander::test
