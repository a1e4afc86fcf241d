// A fleet of instances in one process and in virtual time, each with
// Membership, LoadSpread and ProfileStore. Messages between instances are
// encoded as on the wire, counted, delayed at random, and dropped by a loss
// rate and by rules that tests set; nothing else of a network is modelled.
#ifndef OLEANDER_TEST_SUPPORT_CONTROL_FLEET_H_
#define OLEANDER_TEST_SUPPORT_CONTROL_FLEET_H_

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "absl/random/distributions.h"
#include "io/load_codec.h"
#include "io/membership_codec.h"
#include "io/profile_codec.h"
#include "mesh.pb.h"
#include "oleander/load_spread.h"
#include "oleander/membership.h"
#include "oleander/profiles.h"
#include "support/fake_store.h"

namespace oleander::testing {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Bytes on the wire per message in addition to the envelope: IP and TCP headers
// with timestamps, the ZMTP frame, the CURVE MESSAGE command, and half of an
// empty TCP acknowledgement, since every second segment is acknowledged.
inline constexpr uint64_t kWireOverhead = 52 + 2 + 33 + 26;
// Bytes of one GET /v1/load: headers and body as oleanderd and an engine send
// them, three TCP segments and one acknowledgement.
inline constexpr uint64_t kPollSentBytes = 90 + 52 + 52;
inline constexpr uint64_t kPollReceivedBytes = 400 + 52;
// Bytes of JSON, HTTP and TCP of a store call in addition to keys and values.
inline constexpr uint64_t kStoreCallBytes = 420;
// Bytes of a ZMTP PING and its PONG under CURVE, with their TCP/IP headers.
inline constexpr uint64_t kKeepAliveBytes = 2 * (52 + 2 + 33 + 9);

enum class Traffic { kMembership, kLoad, kProfiles, kPolls, kStore };
inline constexpr size_t kTrafficClasses = 5;
inline constexpr std::array<const char*, kTrafficClasses> kTrafficNames = {
    "membership", "load", "profiles", "asks", "store"};

struct TrafficCount {
  uint64_t messages_sent = 0;
  uint64_t bytes_sent = 0;
  uint64_t messages_received = 0;
  uint64_t bytes_received = 0;
};
using TrafficCounts = std::array<TrafficCount, kTrafficClasses>;

struct FleetOptions {
  size_t instances = 8;
  size_t servers = 24;
  size_t regions = 2;
  size_t domains = 3;
  size_t services = 2;
  uint64_t seed = 1;
  Duration local_delay = std::chrono::microseconds(500);
  Duration region_delay = milliseconds(20);
  MembershipOptions membership;
  LoadSpreadOptions load;
  ProfileOptions profiles;
};

class ControlFleet {
 public:
  struct Node {
    InstanceInfo info;
    uint64_t starts = 0;  // Number of starts so far.
    bool running = false;
    Time paused_until{};
    std::unique_ptr<Membership> membership;
    std::unique_ptr<LoadSpread> load;
    std::unique_ptr<ProfileStore> profiles;
    TrafficCounts traffic;
    Time scheduled = Time::max();
    uint64_t schedule = 0;
    StoreCall watch = 0;
    std::string watch_prefix;
    int64_t watch_next = 0;
    bool watch_muted = false;
    std::map<std::string, EditDone> edits;
    std::map<uint64_t, InForceReport> waits;
    uint64_t deaths_seen = 0;
    uint64_t false_deaths_seen = 0;
    uint64_t resets = 0;
    uint64_t ticks = 0;
    bool members_changed = false;
  };

  // Returns whether a message from one instance to another is dropped.
  using DropRule = std::function<bool(size_t from, size_t to)>;

  explicit ControlFleet(FleetOptions options)
      : options_(std::move(options)),
        gen_(options_.seed),
        now_(Time(seconds(1000))) {
    MakeServers();
    nodes_.resize(options_.instances);
    for (size_t i = 0; i < nodes_.size(); ++i) {
      nodes_[i].info = InfoOf(i);
      indices_[nodes_[i].info.id.value()] = i;
    }
  }

  Time now() const { return now_; }
  std::vector<Node>& nodes() { return nodes_; }
  Node& node(size_t index) { return nodes_[index]; }
  FakeStore& store() { return store_; }
  const std::vector<ServerInfo>& servers() const { return servers_; }
  uint64_t store_calls() const { return store_calls_; }
  uint64_t polls() const { return polls_; }
  std::mt19937_64& gen() { return gen_; }

  // Injected faults.
  void set_drop(DropRule rule) { drop_ = std::move(rule); }
  void set_loss(double loss) { loss_ = loss; }
  void set_store_reachable(std::function<bool(size_t)> reachable) {
    store_reachable_ = std::move(reachable);
  }
  // Sets the share of writes whose answer is lost after they took effect, and
  // the share of writes whose answer is lost and that take effect up to 3 s
  // later.
  void set_store_loss(double lost_answers, double late_writes) {
    lost_answers_ = lost_answers;
    late_writes_ = late_writes;
  }
  std::map<ServerId, LoadReport>& reports() { return reports_; }

  void StartAll() {
    for (size_t i = 0; i < nodes_.size(); ++i) {
      Start(i);
    }
  }

  void Start(size_t index) {
    Node& node = nodes_[index];
    ++node.starts;
    node.running = true;
    node.scheduled = Time::max();
    node.watch = 0;
    node.edits.clear();
    node.waits.clear();
    node.paused_until = now_;
    const uint64_t seed = options_.seed * 7919 + index * 101 + node.starts;
    MembershipOptions membership = options_.membership;
    membership.first_incarnation =
        static_cast<uint64_t>(now_.time_since_epoch() / milliseconds(1));
    node.membership =
        std::make_unique<Membership>(node.info, membership, seed, now_);
    node.load =
        std::make_unique<LoadSpread>(node.info, options_.load, seed, now_);
    node.profiles = std::make_unique<ProfileStore>(node.info, options_.profiles,
                                                   seed, now_);
    std::vector<InstanceInfo> listed;
    std::ranges::transform(nodes_, std::back_inserter(listed), &Node::info);
    node.membership->SetCandidates(listed, now_);
    node.load->SetServers(servers_, now_);
    UpdateMembers(index);
    Drain(index);
  }

  // Stops an instance without any message to the others.
  void Crash(size_t index) {
    nodes_[index].running = false;
    nodes_[index].watch = 0;
  }

  void Pause(size_t index, Duration duration) {
    nodes_[index].paused_until = now_ + duration;
  }

  void At(Time when, std::function<void()> callback) {
    events_.push({when, ++sequence_, std::move(callback)});
  }

  void RunFor(Duration duration) { RunUntil(now_ + duration); }

  void RunUntil(Time end) {
    while (!events_.empty() && events_.top().when <= end) {
      // top() returns a const reference; the callback is moved out of it.
      Event event = std::move(const_cast<Event&>(events_.top()));
      events_.pop();
      now_ = std::max(now_, event.when);
      event.callback();
    }
    now_ = end;
  }

  // Runs until `holds` returns true, checked every `step`, or for `max_time`.
  // Returns the virtual time that passed.
  Duration RunUntilHolds(Duration max_time, Duration step,
                         const std::function<bool()>& holds) {
    const Time start = now_;
    while (!holds() && now_ - start < max_time) {
      RunFor(step);
    }
    return now_ - start;
  }

  // Runs `call` on a running node and executes the resulting actions.
  void On(size_t index, const std::function<void(Node&)>& call) {
    if (nodes_[index].running) {
      call(nodes_[index]);
      Drain(index);
    }
  }

  void ClearTraffic() {
    for (Node& node : nodes_) {
      node.traffic = {};
      node.ticks = 0;
    }
    store_calls_ = 0;
    polls_ = 0;
  }

  size_t IndexOf(const InstanceId& id) const {
    const auto found = indices_.find(id.value());
    return found == indices_.end() ? nodes_.size() : found->second;
  }

  // Returns whether every running node counts as many live members as there are
  // running nodes.
  bool Converged() const {
    const auto running =
        static_cast<size_t>(std::ranges::count_if(nodes_, &Node::running));
    return std::ranges::all_of(nodes_, [&](const Node& node) {
      return !node.running || node.membership->live_count() == running;
    });
  }

 private:
  struct Event {
    Time when;
    uint64_t sequence = 0;
    std::function<void()> callback;

    bool operator<(const Event& other) const {
      return std::pair(when, sequence) > std::pair(other.when, other.sequence);
    }
  };

  InstanceInfo InfoOf(size_t index) const {
    const size_t domain = index % options_.domains;
    return {
        .id = InstanceId(fmt::format("entry-{:03}", index)),
        .location = LocationOf(domain),
        .address = fmt::format("127.14.{}.{}", index / 200, 1 + index % 200),
        .http_port = 8000,
        .mesh_port = 9000};
  }

  Location LocationOf(size_t domain) const {
    return {
        .region = RegionId(fmt::format("region-{}", domain % options_.regions)),
        .domain = DomainId(fmt::format("domain-{}", domain))};
  }

  void MakeServers() {
    for (size_t i = 0; i < options_.servers; ++i) {
      ServerInfo server;
      server.id = ServerId(fmt::format("worker-{:03}", i));
      server.service = ServiceId(fmt::format(
          "service-{}", (i / options_.domains) % options_.services));
      server.location = LocationOf(i % options_.domains);
      server.address = "127.14.9.1";
      server.port = static_cast<uint16_t>(10000 + i);
      reports_[server.id] = {.age = milliseconds(100),
                             .running = 4,
                             .waiting = 0,
                             .slots = 16,
                             .queued_tokens = 500,
                             .tokens_per_s = 300,
                             .prefill_tokens_per_s = 4000,
                             .kv_used_tokens = 20000,
                             .kv_total_tokens = 100000};
      servers_.push_back(std::move(server));
    }
  }

  void UpdateMembers(size_t index) {
    Node& node = nodes_[index];
    std::vector<InstanceInfo> live = {node.info};
    for (const Member& member : node.membership->members()) {
      if (member.reachable()) {
        live.push_back(member.info);
      }
    }
    node.load->SetLiveInstances(live, now_);
    node.profiles->OnMembers(live, node.membership->neighbours(), now_);
  }

  void Drain(size_t index) {
    Node& node = nodes_[index];
    for (bool more = true; more;) {
      more = false;
      for (MembershipAction& action : node.membership->TakeActions()) {
        more = true;
        std::visit([&](auto& a) { Execute(index, a); }, action);
      }
      for (LoadAction& action : node.load->TakeActions()) {
        more = true;
        std::visit([&](auto& a) { Execute(index, a); }, action);
      }
      for (ProfileAction& action : node.profiles->TakeActions()) {
        more = true;
        std::visit([&](auto& a) { Execute(index, a); }, action);
      }
    }
    Schedule(index);
  }

  void Schedule(size_t index) {
    Node& node = nodes_[index];
    const Time due =
        std::max({now_, node.paused_until,
                  std::min({node.membership->next_due(), node.load->next_due(),
                            node.profiles->next_due()})});
    if (due >= node.scheduled) {
      return;
    }
    node.scheduled = due;
    const uint64_t schedule = ++node.schedule;
    At(due, [this, index, schedule] { TickNode(index, schedule); });
  }

  void TickNode(size_t index, uint64_t schedule) {
    Node& node = nodes_[index];
    if (!node.running || schedule != node.schedule) {
      return;
    }
    node.scheduled = Time::max();
    if (now_ < node.paused_until) {
      Schedule(index);
      return;
    }
    ++node.ticks;
    node.membership->Tick(now_);
    Drain(index);
    if (std::exchange(node.members_changed, false)) {
      UpdateMembers(index);
    }
    node.load->Tick(now_);
    node.profiles->Tick(now_);
    Drain(index);
  }

  Duration DelayTo(size_t from, size_t to) {
    const bool local =
        nodes_[from].info.location.region == nodes_[to].info.location.region;
    const Duration base = local ? options_.local_delay : options_.region_delay;
    return base + Duration(absl::Uniform<int64_t>(gen_, 0, base.count()));
  }

  void Count(TrafficCount& count, uint64_t bytes, bool sent) {
    if (sent) {
      ++count.messages_sent;
      count.bytes_sent += bytes;
    } else {
      ++count.messages_received;
      count.bytes_received += bytes;
    }
  }

  // Sends an envelope. `load_bytes` of it are counted as Traffic::kLoad, the
  // rest as `traffic`.
  void SendEnvelope(size_t index, const InstanceId& to_id,
                    mesh::Envelope envelope, Traffic traffic,
                    uint64_t load_bytes) {
    const size_t to = IndexOf(to_id);
    envelope.set_version(1);
    envelope.set_from(nodes_[index].info.id.value());
    auto bytes = std::make_shared<std::string>(envelope.SerializeAsString());
    const uint64_t size = bytes->size() + kWireOverhead;
    CountBoth(nodes_[index], traffic, size, load_bytes, /*sent=*/true);
    const bool lost = to >= nodes_.size() || (drop_ && drop_(index, to)) ||
                      absl::Bernoulli(gen_, loss_);
    if (lost) {
      return;
    }
    const uint64_t start = nodes_[to].starts;
    At(now_ + DelayTo(index, to),
       [=, this] { Deliver(to, start, traffic, bytes, load_bytes); });
  }

  void CountBoth(Node& node, Traffic traffic, uint64_t size,
                 uint64_t load_bytes, bool sent) {
    Count(node.traffic[static_cast<size_t>(traffic)], size - load_bytes, sent);
    if (load_bytes > 0) {
      Count(node.traffic[static_cast<size_t>(Traffic::kLoad)], load_bytes,
            sent);
    }
  }

  void Deliver(size_t to, uint64_t start, Traffic traffic,
               const std::shared_ptr<std::string>& bytes, uint64_t load_bytes) {
    Node& node = nodes_[to];
    if (!node.running || node.starts != start) {
      return;
    }
    if (now_ < node.paused_until) {
      // A paused process receives its messages when it resumes.
      At(node.paused_until + milliseconds(1),
         [=, this] { Deliver(to, start, traffic, bytes, load_bytes); });
      return;
    }
    CountBoth(node, traffic, bytes->size() + kWireOverhead, load_bytes,
              /*sent=*/false);
    mesh::Envelope envelope;
    if (!envelope.ParseFromString(*bytes)) {
      throw std::runtime_error("An envelope did not parse.");
    }
    Dispatch(node, envelope);
    Drain(to);
  }

  void Dispatch(Node& node, const mesh::Envelope& envelope) {
    const InstanceId from(envelope.from());
    if (envelope.has_membership()) {
      const auto frame = io::DecodeMembership(envelope.membership());
      if (!frame.ok()) {
        throw std::runtime_error(frame.status().ToString());
      }
      node.membership->OnMessage(from, frame->membership, now_);
      if (frame->load.roster != 0) {
        node.load->OnUpdate(from, frame->load, now_);
      }
      node.profiles->OnDigest(from, frame->profiles, now_);
    } else if (envelope.has_load()) {
      node.load->OnUpdate(from, io::DecodeLoad(envelope.load()).value(), now_);
    } else if (envelope.has_profile()) {
      node.profiles->OnMessage(
          from, io::DecodeProfile(envelope.profile()).value(), now_);
    }
  }

  void Execute(size_t index, SendMembershipMessage& send) {
    Node& node = nodes_[index];
    io::MembershipFrame frame;
    frame.membership = std::move(send.message);
    frame.profiles = node.profiles->digest();
    if (frame.membership.kind == MembershipKind::kHeartbeat) {
      const auto member = node.membership->Find(send.to);
      const bool same = member.has_value() && member->info.location.domain ==
                                                  node.info.location.domain;
      frame.load = node.load->UpdateFor(send.to, same, now_);
    }
    mesh::Envelope envelope;
    *envelope.mutable_membership() = io::EncodeMembership(frame);
    const uint64_t load_bytes =
        envelope.membership().has_load()
            ? envelope.membership().load().ByteSizeLong() + 2
            : 0;
    SendEnvelope(index, send.to, std::move(envelope), Traffic::kMembership,
                 load_bytes);
  }

  void Execute(size_t index, const MemberChanged& changed) {
    nodes_[index].members_changed = true;
    if (changed.state != MemberState::kDead) {
      return;
    }
    Node& node = nodes_[index];
    ++node.deaths_seen;
    const size_t who = IndexOf(changed.info.id);
    if (who < nodes_.size() && nodes_[who].running) {
      ++node.false_deaths_seen;
    }
  }

  void Execute(size_t index, const NeighboursChanged&) {
    nodes_[index].members_changed = true;
  }
  void Execute(size_t index, const ResetConnection&) { ++nodes_[index].resets; }

  void Execute(size_t index, const PollLoad& poll) {
    Node& node = nodes_[index];
    ++polls_;
    Count(node.traffic[static_cast<size_t>(Traffic::kPolls)], kPollSentBytes,
          true);
    const ServerId id = poll.server.id;
    const uint64_t start = node.starts;
    At(now_ + milliseconds(3), [=, this] {
      Node& requester = nodes_[index];
      if (!requester.running || requester.starts != start) {
        return;
      }
      Count(requester.traffic[static_cast<size_t>(Traffic::kPolls)],
            kPollReceivedBytes, false);
      const auto report = reports_.find(id);
      if (report == reports_.end()) {
        requester.load->OnPollFailed(id, now_);
      } else {
        requester.load->OnLoadReport(id, report->second, now_);
      }
      Drain(index);
    });
  }

  void Execute(size_t index, const SendUpdatesNow&) {
    Node& node = nodes_[index];
    for (const InstanceId& to : node.membership->neighbours()) {
      const auto member = node.membership->Find(to);
      const bool same = member.has_value() && member->info.location.domain ==
                                                  node.info.location.domain;
      const LoadUpdate update = node.load->UpdateFor(to, same, now_);
      if (update.empty()) {
        continue;
      }
      mesh::Envelope envelope;
      *envelope.mutable_load() = io::EncodeLoad(update);
      SendEnvelope(index, to, std::move(envelope), Traffic::kLoad, 0);
    }
  }

  void Execute(size_t index, const SendProfileMessage& send) {
    mesh::Envelope envelope;
    *envelope.mutable_profile() = io::EncodeProfile(send.message);
    SendEnvelope(index, send.to, std::move(envelope), Traffic::kProfiles, 0);
  }

  void Execute(size_t, const ProfileApplied&) {}
  void Execute(size_t index, const EditDone& done) {
    nodes_[index].edits[done.edit_id] = done;
  }
  void Execute(size_t index, const InForceReport& report) {
    nodes_[index].waits[report.wait] = report;
  }

  void Execute(size_t index, const StoreRequest& request) {
    std::visit([&](const auto& r) { ExecuteStoreRequest(index, r); }, request);
  }

  bool StoreReachable(size_t index) const {
    return !store_reachable_ || store_reachable_(index);
  }

  // Counts a store call and delivers its answer after `delay`, unless the
  // instance has stopped or restarted by then.
  void AnswerLater(size_t index, Duration delay, uint64_t bytes,
                   std::function<void(Node&)> answer) {
    ++store_calls_;
    Node& node = nodes_[index];
    Count(node.traffic[static_cast<size_t>(Traffic::kStore)],
          kStoreCallBytes / 2, true);
    const uint64_t start = node.starts;
    At(now_ + delay, [=, this] {
      Node& requester = nodes_[index];
      if (!requester.running || requester.starts != start) {
        return;
      }
      Count(requester.traffic[static_cast<size_t>(Traffic::kStore)],
            kStoreCallBytes / 2 + bytes, false);
      answer(requester);
      Drain(index);
    });
  }

  static uint64_t BytesOf(const StoreRangeAnswer& answer) {
    uint64_t bytes = 0;
    for (const StoreEntry& entry : answer.entries) {
      bytes += (entry.key.size() + entry.value.size()) * 4 / 3 + 100;
    }
    return bytes;
  }

  static absl::Status Unavailable() {
    return MakeError(ResultCode::kStoreUnavailable,
                     "The store is out of reach in this test.");
  }
  static absl::Status Lost() {
    return MakeError(ResultCode::kStoreAnswerLost,
                     "The store's answer is lost in this test.");
  }

  void ExecuteStoreRequest(size_t index, const StoreRange& request) {
    if (!StoreReachable(index)) {
      AnswerLater(index, seconds(1), 0, [=, this](Node& node) {
        node.profiles->OnRange(request.call, Unavailable(), now_);
      });
      return;
    }
    const StoreRangeAnswer answer = store_.Range(request);
    AnswerLater(index, milliseconds(3), BytesOf(answer), [=, this](Node& node) {
      node.profiles->OnRange(request.call, answer, now_);
    });
  }

  void ExecuteStoreRequest(size_t index, const StoreCas& request) {
    if (!StoreReachable(index)) {
      AnswerLater(index, milliseconds(20), 0, [=, this](Node& node) {
        node.profiles->OnCas(request.call, Unavailable(), now_);
      });
      return;
    }
    if (absl::Bernoulli(gen_, late_writes_)) {
      At(now_ + Duration(absl::Uniform<int64_t>(gen_, 0, 3'000'000)),
         [=, this] { CasAndNotify(request); });
      AnswerLater(index, seconds(1), 0, [=, this](Node& node) {
        node.profiles->OnCas(request.call, Lost(), now_);
      });
      return;
    }
    const StoreCasAnswer answer = CasAndNotify(request);
    const bool lost = absl::Bernoulli(gen_, lost_answers_);
    AnswerLater(index, lost ? Duration(seconds(1)) : Duration(milliseconds(4)),
                0, [=, this](Node& node) {
                  if (lost) {
                    node.profiles->OnCas(request.call, Lost(), now_);
                  } else {
                    node.profiles->OnCas(request.call, answer, now_);
                  }
                });
  }

  StoreCasAnswer CasAndNotify(const StoreCas& request) {
    const StoreCasAnswer answer = store_.Cas(request);
    for (size_t i = 0; i < nodes_.size(); ++i) {
      NotifyWatch(i);
    }
    return answer;
  }

  void NotifyWatch(size_t index) {
    Node& node = nodes_[index];
    if (node.watch == 0 || node.watch_muted || !StoreReachable(index)) {
      return;
    }
    const auto events = store_.Since(node.watch_prefix, node.watch_next);
    const StoreCall call = node.watch;
    if (!events.has_value()) {
      node.watch = 0;
      AnswerLater(index, milliseconds(3), 0, [=, this](Node& watcher) {
        watcher.profiles->OnWatch(call,
                                  MakeError(ResultCode::kStoreRevisionCompacted,
                                            "The revision is compacted."),
                                  now_);
      });
      return;
    }
    node.watch_next = store_.revision() + 1;
    if (events->empty()) {
      return;
    }
    StoreWatchEvents changes = {
        .revision = store_.revision(), .puts = *events, .deletes = {}};
    At(now_ + milliseconds(3), [=, this] {
      Node& watcher = nodes_[index];
      if (watcher.running && watcher.watch == call) {
        watcher.profiles->OnWatch(call, changes, now_);
        Drain(index);
      }
    });
  }

  void ExecuteStoreRequest(size_t index, const StoreWatch& request) {
    Node& node = nodes_[index];
    ++store_calls_;
    node.watch = request.call;
    node.watch_prefix = request.prefix;
    node.watch_next = request.from_revision;
    NotifyWatch(index);
  }

  void ExecuteStoreRequest(size_t index, const StoreCancelWatch&) {
    nodes_[index].watch = 0;
  }
  void ExecuteStoreRequest(size_t, const StoreLeaseGrant&) {}
  void ExecuteStoreRequest(size_t, const StoreLeaseKeepAlive&) {}
  void ExecuteStoreRequest(size_t, const StoreLeaseRevoke&) {}

  FleetOptions options_;
  std::mt19937_64 gen_;
  Time now_;
  std::priority_queue<Event> events_;
  uint64_t sequence_ = 0;
  std::vector<Node> nodes_;
  std::unordered_map<std::string, size_t> indices_;
  std::vector<ServerInfo> servers_;
  std::map<ServerId, LoadReport> reports_;
  FakeStore store_;
  DropRule drop_;
  double loss_ = 0;
  std::function<bool(size_t)> store_reachable_;
  double lost_answers_ = 0;
  double late_writes_ = 0;
  uint64_t store_calls_ = 0;
  uint64_t polls_ = 0;
};

}  // namespace oleander::testing

#endif  // OLEANDER_TEST_SUPPORT_CONTROL_FLEET_H_
