#include "node/node.h"

#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

#include "io/cloud_client.h"
#include "io/engine_client.h"
#include "io/event_loop.h"
#include "io/http_client.h"
#include "io/http_server.h"
#include "io/kv_client.h"
#include "io/log.h"
#include "node/admission_gate.h"
#include "node/caller_api.h"
#include "node/capacity_driver.h"
#include "node/chat_handler.h"
#include "node/dispatcher.h"
#include "node/fleet.h"
#include "node/ledger_driver.h"
#include "node/load_driver.h"
#include "node/membership_driver.h"
#include "node/mesh_port.h"
#include "node/metrics.h"
#include "node/operator_api.h"
#include "node/operator_token.h"
#include "node/plain_handler.h"
#include "node/profile_driver.h"
#include "node/reclaimer.h"
#include "node/request_driver.h"
#include "node/server_directory.h"
#include "node/store_gateway.h"
#include "oleander/invariant.h"
#include "oleander/result_code.h"

namespace oleander::node {
namespace {

using nlohmann::json;

constexpr Duration kTickInterval = std::chrono::milliseconds(10);
constexpr Duration kIdleConnectionTimeout = std::chrono::seconds(20);
constexpr Duration kStoreTimeout = std::chrono::milliseconds(1500);
// Time reserved at the end of a reclaim notice for the last messages.
constexpr Duration kExitMargin = std::chrono::milliseconds(200);
// Time for the last answers to be sent.
constexpr Duration kFlushTime = std::chrono::milliseconds(100);
constexpr double kRetryBurst = 10;
// After this time the instance is ready even if some servers have not reported.
constexpr Duration kWarmUpTimeout = std::chrono::seconds(3);

// Returns a seed that differs in each run, because two runs of an instance must
// not create the same attempt names.
uint64_t RandomSeed() {
  std::random_device device;
  return (uint64_t{device()} << 32) | device();
}

// Returns an incarnation, in milliseconds of wall time, that is higher than
// that of earlier runs of this instance.
uint64_t FirstIncarnation() {
  return static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          io::EventLoop::wall_now().time_since_epoch())
          .count());
}

RequestTableOptions TableOptions(const Settings& settings) {
  RequestTableOptions options;
  options.self = settings.SelfInfo();
  options.limits.max_requests = settings.limits.max_requests;
  options.limits.max_bytes =
      static_cast<int64_t>(settings.limits.max_request_bytes);
  return options;
}

RoutingOptions RouterOptions(const Settings& settings, uint64_t seed) {
  RoutingOptions options;
  options.location = settings.location;
  options.seed = seed;
  // The load spread uses the same age limit.
  options.max_report_age = LoadSpreadOptions().max_usable_age;
  return options;
}

MembershipOptions MemberOptions() {
  MembershipOptions options;
  options.first_incarnation = FirstIncarnation();
  return options;
}

LedgerOptions LedgerOptionsOf(const Settings& settings) {
  LedgerOptions options;
  options.self = settings.instance;
  return options;
}

io::HttpServerOptions ServerOptions(const ListenerSettings& listener,
                                    const LimitSettings& limits) {
  io::HttpServerOptions options;
  options.address = listener.address;
  options.port = listener.port;
  options.max_body_bytes = limits.max_body_bytes;
  if (listener.tls.has_value()) {
    options.tls =
        io::TlsFiles{.certificate_file = listener.tls->certificate_file,
                     .key_file = listener.tls->key_file};
  }
  return options;
}

}  // namespace

// Members are declared in the order of their dependencies.
class Node::Impl {
 public:
  Impl(const Settings& settings, io::MeshKeys keys, OperatorToken token);

  absl::Status Listen();
  void Run();

 private:
  MeshPort::Receivers MakeReceivers();
  MembershipDriver::Callbacks MakeMembershipCallbacks();
  Fleet::Callbacks MakeFleetCallbacks();
  OperatorApiParts MakeOperatorParts(OperatorToken token);

  void Tick();
  void OnMembersChanged();
  void OnEntries(const std::vector<EntryPeer>& entries);
  void OnServers(const std::vector<ServerInfo>& servers);
  void OnServerLeaving(const ServerId& server, std::optional<Duration> left);
  void OnServerRemoved(const ServerId& server);
  void OnHeartbeat(const InstanceId& from, const io::MembershipFrame& frame);
  bool IsInLocalDomain(const InstanceId& id) const;
  void SendLoadUpdatesNow();
  void SendHeartbeat(const InstanceId& to, const MembershipMessage& message);
  void BroadcastWrite(const WriteMark& mark);
  void OnProfileApplied();

  // Returns whether the list of servers is read and the load of each listed
  // server is known, except for servers that are leaving.
  bool HasServerLoads() const;
  void StartDrain(bool handover, std::optional<Duration> left);
  void CheckDrain();
  void Exit();
  std::string NotReady() const;
  json Status() const;
  std::string MetricsText();

  Settings settings_;
  Location location_;
  uint64_t seed_;
  io::EventLoop loop_;
  Metrics metrics_;
  io::HttpClient http_;
  io::EngineClient engines_;
  io::CloudClient cloud_;
  io::KvClient kv_;
  StoreBudget budget_;
  StoreGateway store_;
  ServerDirectory servers_;
  Router router_;
  AdmissionGate admission_;
  RetryBudget retries_;
  MeshPort mesh_;
  MembershipDriver members_;
  ProfileDriver profiles_;
  LoadDriver load_;
  RequestDriver requests_;
  Dispatcher dispatcher_;
  LedgerDriver ledger_;
  Reclaimer reclaimer_;
  CapacityDriver capacity_;
  ChatHandler chat_;
  PlainHandler plain_;
  RequestApi request_api_;
  CallerApi caller_api_;
  OperatorApi operator_api_;
  io::HttpServer callers_;
  io::HttpServer operators_;
  Fleet fleet_;
  io::Timer tick_;
  io::Timer deadline_;
  io::Timer flush_;
  Time started_at_{};
  // Set once the load of all servers is known or kWarmUpTimeout has passed.
  bool warmed_up_ = false;
  bool draining_ = false;
  bool exiting_ = false;
};

Node::Impl::Impl(const Settings& settings, io::MeshKeys keys,
                 OperatorToken token)
    : settings_(settings),
      location_(settings.location),
      seed_(RandomSeed()),
      http_(loop_, kIdleConnectionTimeout),
      engines_(http_),
      cloud_(http_, settings.platform.address, settings.platform.port),
      kv_(http_, settings.platform.address, settings.platform.port,
          kStoreTimeout),
      budget_({}, seed_, loop_.now()),
      store_(loop_, kv_, budget_, metrics_),
      router_(RouterOptions(settings, seed_)),
      retries_({.share = RetryBudgetOptions().share, .burst = kRetryBurst}),
      mesh_(loop_, settings, std::move(keys), metrics_, MakeReceivers()),
      members_(loop_, settings.SelfInfo(), MemberOptions(), seed_,
               MakeMembershipCallbacks()),
      profiles_(
          loop_, store_, settings.SelfInfo(), {}, seed_,
          [this](const InstanceId& to, const ProfileMessage& message) {
            mesh_.Send(to, message);
          },
          [this](const ProfileApplied&) { OnProfileApplied(); }),
      load_(loop_, engines_, router_, servers_, settings.SelfInfo(), {}, seed_,
            [this] { SendLoadUpdatesNow(); }),
      requests_(loop_, TableOptions(settings), seed_,
                [this](const InstanceId& to, const RequestMessage& message) {
                  mesh_.Send(to, message);
                }),
      dispatcher_({.loop = loop_,
                   .engines = engines_,
                   .router = router_,
                   .admission = admission_,
                   .servers = servers_,
                   .profiles = profiles_.profiles(),
                   .metrics = metrics_},
                  settings.instance, requests_.MakeDispatchCallbacks()),
      ledger_({.loop = loop_,
               .http = http_,
               .router = router_,
               .servers = servers_,
               .store = store_},
              LedgerOptionsOf(settings), seed_,
              [this](const InstanceId& to, const LedgerMessage& message) {
                mesh_.Send(to, message);
              }),
      reclaimer_({.loop = loop_,
                  .engines = engines_,
                  .requests = requests_,
                  .dispatcher = dispatcher_,
                  .router = router_,
                  .load = load_,
                  .servers = servers_,
                  .location = location_,
                  .self = settings.instance}),
      capacity_({.loop = loop_,
                 .cloud = cloud_,
                 .engines = engines_,
                 .store = store_,
                 .servers = servers_,
                 .load = load_,
                 .router = router_,
                 .profiles = profiles_.profiles()},
                settings.instance, seed_),
      chat_({.loop = loop_,
             .requests = requests_,
             .dispatcher = dispatcher_,
             .admission = admission_,
             .router = router_,
             .profiles = profiles_.profiles(),
             .metrics = metrics_}),
      plain_({.loop = loop_,
              .http = http_,
              .router = router_,
              .servers = servers_,
              .profiles = profiles_.profiles(),
              .ledger = ledger_,
              .retries = retries_,
              .metrics = metrics_,
              .draining = [this] { return draining_; },
              .broadcast_write =
                  [this](const WriteMark& mark) { BroadcastWrite(mark); }}),
      request_api_(requests_, metrics_),
      caller_api_({.chat = chat_,
                   .plain = plain_,
                   .requests = request_api_,
                   .not_ready = [this] { return NotReady(); }}),
      operator_api_(MakeOperatorParts(std::move(token))),
      callers_(loop_, ServerOptions(settings.callers, settings.limits),
               [this](const std::shared_ptr<io::HttpExchange>& exchange) {
                 caller_api_.Handle(exchange);
               }),
      operators_(loop_, ServerOptions(settings.operators, settings.limits),
                 [this](const std::shared_ptr<io::HttpExchange>& exchange) {
                   operator_api_.Handle(exchange);
                 }),
      fleet_(loop_, cloud_, settings, MakeFleetCallbacks()) {
  requests_.SetDispatcher(&dispatcher_);
  budget_.SetInstances(settings.limits.expected_instances, loop_.now());
}

MeshPort::Receivers Node::Impl::MakeReceivers() {
  return {.request =
              [this](const InstanceId& from, const RequestMessage& message) {
                requests_.OnMessage(from, message);
              },
          .ledger =
              [this](const InstanceId& from, const LedgerMessage& message) {
                ledger_.OnMessage(from, message);
              },
          .profile =
              [this](const InstanceId& from, const ProfileMessage& message) {
                profiles_.OnMessage(from, message);
              },
          .membership =
              [this](const InstanceId& from, const io::MembershipFrame& frame) {
                OnHeartbeat(from, frame);
              },
          .load =
              [this](const InstanceId& from, const LoadUpdate& update) {
                load_.OnUpdate(from, update);
              },
          .write =
              [this](const InstanceId&, const WriteMark& mark) {
                router_.OnWrite(loop_.now(), mark);
              }};
}

MembershipDriver::Callbacks Node::Impl::MakeMembershipCallbacks() {
  return {.send =
              [this](const InstanceId& to, const MembershipMessage& message) {
                SendHeartbeat(to, message);
              },
          .on_change = [this] { OnMembersChanged(); },
          .reset_connection =
              [this](const InstanceId& peer) { mesh_.Reset(peer); }};
}

Fleet::Callbacks Node::Impl::MakeFleetCallbacks() {
  return {
      .on_entries =
          [this](const std::vector<EntryPeer>& entries) { OnEntries(entries); },
      .on_servers =
          [this](const std::vector<ServerInfo>& servers) {
            OnServers(servers);
          },
      .on_server_leaving =
          [this](const ServerId& server, std::optional<Duration> left) {
            OnServerLeaving(server, left);
          },
      .on_server_removed =
          [this](const ServerId& server) { OnServerRemoved(server); },
      .on_self_notice =
          [this](Duration left) { StartDrain(/*handover=*/true, left); }};
}

OperatorApiParts Node::Impl::MakeOperatorParts(OperatorToken token) {
  return {.loop = loop_,
          .token = std::move(token),
          .profiles = profiles_,
          .members = members_,
          .load = load_,
          .router = router_,
          .servers = servers_,
          .store = store_,
          .requests = request_api_,
          .not_ready = [this] { return NotReady(); },
          .status = [this] { return Status(); },
          .metrics_text = [this] { return MetricsText(); }};
}

absl::Status Node::Impl::Listen() {
  if (absl::Status status = mesh_.Listen(); !status.ok()) {
    return status;
  }
  if (absl::Status status = operators_.Listen(); !status.ok()) {
    return status;
  }
  return callers_.Listen();
}

void Node::Impl::Run() {
  SetInvariantHandler([this](const InvariantFailure& failure) {
    metrics_.CountInvariantFailure(failure.name);
    io::Log(io::LogLevel::kError, "invariant.failed",
            {{"name", failure.name}, {"message", failure.message}});
  });
  loop_.OnTerminationSignal(
      [this] { StartDrain(/*handover=*/false, std::nullopt); });
  started_at_ = loop_.now();
  fleet_.Start();
  tick_ = loop_.Every(kTickInterval, [this] { Tick(); });
  io::Log(io::LogLevel::kInfo, "daemon.started",
          {{"domain", location_.domain.value()},
           {"callers", fmt::format("{}:{}", settings_.callers.address,
                                   settings_.callers.port)},
           {"pid", ::getpid()}});
  loop_.Run();
}

void Node::Impl::Tick() {
  members_.Tick();
  profiles_.Tick();
  load_.Tick();
  requests_.Tick();
  ledger_.Tick();
  capacity_.Tick();
  admission_.Tick(loop_.now());
  warmed_up_ = warmed_up_ || HasServerLoads() ||
               loop_.now() - started_at_ > kWarmUpTimeout;
  if (draining_) {
    CheckDrain();
  }
}

void Node::Impl::OnMembersChanged() {
  const std::vector<InstanceInfo> live = members_.Live();
  requests_.SetPeers(members_.PeersIn(location_.region));
  profiles_.OnMembers(live, members_.membership().neighbours());
  budget_.SetInstances(
      std::max(live.size(), settings_.limits.expected_instances), loop_.now());
  load_.SetLiveInstances(live);
  // The live instance with the lowest id should hold the capacity lease. The
  // lease prevents two holders while the instances disagree about who is live.
  const auto lowest = std::ranges::min_element(live, {}, &InstanceInfo::id);
  capacity_.Want(!draining_ && lowest->id == settings_.instance);
}

void Node::Impl::OnEntries(const std::vector<EntryPeer>& entries) {
  mesh_.SetPeers(entries);
  std::vector<InstanceInfo> infos;
  std::ranges::transform(entries, std::back_inserter(infos), &EntryPeer::info);
  members_.SetCandidates(infos);
  OnMembersChanged();
}

void Node::Impl::OnServers(const std::vector<ServerInfo>& servers) {
  servers_.Set(servers);
  router_.SetServers(loop_.now(), servers);
  load_.SetServers(servers);
  capacity_.OnServers(servers);
}

void Node::Impl::OnServerLeaving(const ServerId& server,
                                 std::optional<Duration> left) {
  load_.OnLeaving(server);
  if (!left.has_value()) {
    return;
  }
  if (const auto info = servers_.Find(server)) {
    capacity_.OnReclaimed(*info);
  }
  reclaimer_.OnNotice(server, *left);
}

void Node::Impl::OnServerRemoved(const ServerId& server) {
  requests_.OnServerLost(server);
}

bool Node::Impl::IsInLocalDomain(const InstanceId& id) const {
  const auto member = members_.membership().Find(id);
  return member.has_value() && member->info.location.domain == location_.domain;
}

void Node::Impl::SendHeartbeat(const InstanceId& to,
                               const MembershipMessage& message) {
  io::MembershipFrame frame;
  frame.membership = message;
  frame.profiles = profiles_.profiles().digest();
  if (message.kind == MembershipKind::kHeartbeat) {
    frame.load = load_.UpdateFor(to, IsInLocalDomain(to));
  }
  mesh_.Send(to, frame);
}

void Node::Impl::SendLoadUpdatesNow() {
  for (const InstanceId& neighbour : members_.membership().neighbours()) {
    const LoadUpdate update =
        load_.UpdateFor(neighbour, IsInLocalDomain(neighbour));
    if (!update.empty()) {
      mesh_.Send(neighbour, update);
    }
  }
}

void Node::Impl::OnHeartbeat(const InstanceId& from,
                             const io::MembershipFrame& frame) {
  members_.OnMessage(from, frame.membership);
  profiles_.OnDigest(from, frame.profiles);
  if (!frame.load.empty()) {
    load_.OnUpdate(from, frame.load);
  }
}

// Announces a write, because a read through another instance must see it too.
void Node::Impl::BroadcastWrite(const WriteMark& mark) {
  for (const PeerView& peer : members_.PeersIn(location_.region)) {
    if (peer.alive) {
      mesh_.Send(peer.info.id, mark);
    }
  }
}

// Called when a profile has come into force on this instance.
void Node::Impl::OnProfileApplied() {
  for (const ProfileState* state : profiles_.profiles().all()) {
    if (!state->profile.has_value()) {
      continue;
    }
    for (const ServiceId& service : state->profile->services) {
      retries_.SetShare(service, state->profile->retries.budget_share);
    }
  }
  OnMembersChanged();  // Managed capacity may have changed.
}

bool Node::Impl::HasServerLoads() const {
  if (!fleet_.list_read_at().has_value()) {
    return false;
  }
  const LoadSpread& spread = load_.spread();
  return std::ranges::all_of(servers_.all(), [&](const ServerInfo& server) {
    return spread.usable(server.id, loop_.now()) || spread.leaving(server.id);
  });
}

void Node::Impl::StartDrain(bool handover, std::optional<Duration> left) {
  if (!draining_) {
    draining_ = true;
    io::Log(io::LogLevel::kInfo, "daemon.draining",
            {{"handover", handover},
             {"homes", requests_.table().gauges().homes_running}});
    members_.Leave();
  }
  requests_.Drain(handover);
  const Duration bound = left.has_value()
                             ? std::max(*left - kExitMargin, Duration::zero())
                             : settings_.limits.drain_without_deadline;
  deadline_ = loop_.After(bound, [this] {
    io::Log(io::LogLevel::kWarning, "daemon.deadline",
            {{"homes", requests_.table().gauges().homes_running},
             {"calls", ledger_.ledger().open_calls()}});
    Exit();
  });
}

void Node::Impl::CheckDrain() {
  const bool done = requests_.table().CanExit() && ledger_.ledger().CanExit() &&
                    plain_.open_calls() == 0 && callers_.open_exchanges() == 0;
  if (done) {
    Exit();
  }
}

void Node::Impl::Exit() {
  if (std::exchange(exiting_, true)) {
    return;
  }
  callers_.StopAccepting();
  members_.Depart();
  flush_ = loop_.After(kFlushTime, [this] {
    io::Log(io::LogLevel::kInfo, "daemon.stopped", {});
    loop_.Stop();
  });
}

std::string Node::Impl::NotReady() const {
  if (draining_) {
    return "draining";
  }
  if (profiles_.profiles().all().empty()) {
    return "no profile in force";
  }
  if (!warmed_up_) {
    return "no reports of servers yet";
  }
  return "";
}

json Node::Impl::Status() const {
  const Time now = loop_.now();
  const ProfileFreshness freshness = profiles_.profiles().freshness(now);
  const RequestGauges gauges = requests_.table().gauges();
  const auto milliseconds = [](Duration duration) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
        .count();
  };
  return {{"instance", settings_.instance.value()},
          {"region", location_.region.value()},
          {"domain", location_.domain.value()},
          {"state", draining_            ? "draining"
                    : NotReady().empty() ? "ready"
                                         : NotReady()},
          {"profile_revision", profiles_.profiles().digest().highest},
          {"profiles_stale", freshness.stale},
          {"store_heard_ms_ago", milliseconds(freshness.store_age)},
          {"peers_heard_ms_ago", milliseconds(freshness.peer_age)},
          {"store_circuit",
           budget_.circuit() == StoreCircuit::kClosed ? "closed" : "open"},
          {"live_instances", members_.membership().live_count()},
          {"homes", gauges.homes},
          {"homes_running", gauges.homes_running},
          {"replicas", gauges.replicas},
          {"held_bytes", gauges.bytes},
          {"holds_capacity_lease", capacity_.holds_lease()},
          {"cost_per_hour", capacity_.cost_per_hour()},
          {"open_calls", ledger_.ledger().open_calls()},
          {"invariant_failures", invariant_failures()}};
}

std::string Node::Impl::MetricsText() {
  for (const io::MeshTraffic& traffic : mesh_.mesh().traffic()) {
    metrics_.SetTotal("mesh_bytes_sent", traffic.message_class,
                      static_cast<double>(traffic.bytes_sent));
    metrics_.SetTotal("mesh_messages_sent", traffic.message_class,
                      static_cast<double>(traffic.messages_sent));
    metrics_.SetTotal("mesh_bytes_received", traffic.message_class,
                      static_cast<double>(traffic.bytes_received));
  }
  metrics_.SetTotal("mesh_dropped", "all",
                    static_cast<double>(mesh_.mesh().dropped()));
  metrics_.SetTotal("mesh_refused_frames", "all",
                    static_cast<double>(mesh_.mesh().refused_frames()));
  const RequestCounts& counts = requests_.table().counts();
  metrics_.SetTotal("requests", "accepted",
                    static_cast<double>(counts.accepted));
  metrics_.SetTotal("requests", "adopted_on_loss",
                    static_cast<double>(counts.adopted_on_loss));
  metrics_.SetTotal("requests", "adopted_on_handover",
                    static_cast<double>(counts.adopted_on_handover));
  metrics_.SetTotal("requests", "stalls", static_cast<double>(counts.stalls));
  metrics_.SetTotal("ledger", "dispatched",
                    static_cast<double>(ledger_.ledger().counts().dispatched));
  metrics_.SetTotal("ledger", "replayed",
                    static_cast<double>(ledger_.ledger().counts().replayed));
  metrics_.SetTotal("invariant_failures", "all",
                    static_cast<double>(invariant_failures()));
  return metrics_.Text();
}

absl::StatusOr<std::unique_ptr<Node>> Node::Create(const Settings& settings) {
  auto keys = ReadMeshKeys(settings.mesh.key_file);
  if (!keys.ok()) {
    return keys.status();
  }
  auto token = OperatorToken::Read(settings.operator_token_file);
  if (!token.ok()) {
    return token.status();
  }
  auto impl =
      std::make_unique<Impl>(settings, *std::move(keys), *std::move(token));
  if (absl::Status status = impl->Listen(); !status.ok()) {
    return status;
  }
  return std::unique_ptr<Node>(new Node(std::move(impl)));
}

Node::Node(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

Node::~Node() = default;

void Node::Run() { impl_->Run(); }

}  // namespace oleander::node
