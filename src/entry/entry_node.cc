#include "entry/entry_node.h"

#include <fmt/format.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <optional>
#include <random>
#include <ranges>
#include <set>
#include <utility>

#include "entry/call_context.h"
#include "entry/call_handler.h"
#include "entry/duty_lease.h"
#include "entry/origin_keeper.h"
#include "entry/peer_mesh.h"
#include "entry/record_keeper.h"
#include "entry/rollout_driver.h"
#include "entry/rollout_feed.h"
#include "entry/rollout_reporter.h"
#include "entry/server_watch.h"
#include "entry/size_orderer.h"
#include "entry/store_feed.h"
#include "entry/usage_reporter.h"
#include "io/event_loop.h"
#include "io/http_server.h"
#include "io/log.h"
#include "io/text_file.h"
#include "oleander/recent_maximum.h"
#include "oleander/result_code.h"

namespace oleander::entry {
namespace {

// Backend servers close idle connections after some seconds. Connections that
// were idle for less than this are safe to reuse.
constexpr Duration kServerIdleBound = std::chrono::seconds(4);
constexpr Duration kPlatformIdleBound = std::chrono::seconds(10);
// Log lines are buffered this long, so that a burst needs one write.
constexpr Duration kLogDelay = std::chrono::milliseconds(200);
// A configuration that was confirmed longer ago is about to become unusable.
// The instance reports itself as not ready, so that the balancer chooses
// another one before requests have to be refused.
constexpr Duration kMaxReadyProofAge = std::chrono::milliseconds(2800);
// The balancer polls readiness once a second and stops sending new requests
// after two failures.
constexpr Duration kBalancerDrainTime = std::chrono::milliseconds(2700);
// Subtracted from the time that the platform allows for stopping.
constexpr Duration kStopMargin = std::chrono::milliseconds(600);
// Time for the last usage counts to reach the store.
constexpr Duration kLastWriteTimeout = std::chrono::milliseconds(300);
constexpr Duration kStopPollInterval = std::chrono::milliseconds(50);
// Callers reuse connections that were idle for up to four fifths of the limit
// that the configuration names; no documented limit is longer than this.
constexpr Duration kCallerIdleTimeout = std::chrono::seconds(60);
// Assumed until the records show how many instances serve. This is more than
// the largest supported deployment has, so that an instance's shares of quotas
// and retries are too small rather than too large.
constexpr size_t kAssumedInstances = 400;
// While instances can't reach the store, the others count too few. They still
// share the bound on retries, so that it is divided by the largest number
// within this time.
constexpr Duration kInstancesMemory = std::chrono::minutes(30);
// Until the records are known, an instance retains the retries that it earns
// for this long after its start: fewer than the operators' bound allows for the
// same calls, however many instances start at once.
constexpr Duration kRetryStartTime = std::chrono::seconds(2);
// The only duty, held by one instance at a time: reporting usage and ordering
// servers.
constexpr const char* kDuty = "platform";
// A renewal costs a tenth of a read. Each instance watches the duty's key, so a
// dead holder's duty is taken over as soon as its lease expires; the periodic
// check covers a missed deletion.
constexpr Duration kDutyLease = std::chrono::milliseconds(4500);
constexpr Duration kDutyRenewInterval = std::chrono::milliseconds(1200);
constexpr Duration kDutySafetyMargin = std::chrono::milliseconds(1200);
constexpr Duration kDutyRetryInterval = std::chrono::milliseconds(6000);
// Most memory that a call uses: its request, and twice the part of the answer
// that a slow caller has not read.
constexpr size_t kMaxBytesPerCall = size_t{256} << 10;
// One answer that is buffered in full may use 1/16 of the memory, all of them
// together 1/4.
constexpr size_t kAnswerMemoryDivisor = 16;
constexpr size_t kCollectedMemoryDivisor = 4;
// The bodies of all requests that arrive or are open may use 1/4.
constexpr size_t kBodyMemoryDivisor = 4;
// Those of the requests that peers relay may use 1/8.
constexpr size_t kRelayedBodyMemoryDivisor = 8;
// Peers that receive a usage sum before it is reported: enough that one of them
// still runs when the duty's next holder continues after the store lost the
// sum.
constexpr size_t kMaxUsagePeers = 12;
constexpr Duration kSettingsCheckInterval = std::chrono::seconds(2);
// At the metrics port: the roll-outs as a JSON document.
constexpr std::string_view kRolloutsPath = "/rollouts";

absl::flat_hash_map<DomainId, RegionId> RegionsOf(
    const EntrySettings& settings) {
  return {settings.domains.begin(), settings.domains.end()};
}

PlacementOptions PlacingOf(const EntrySettings& settings) {
  return {.learned_pace = settings.learned_pace};
}

LeaseOptions DutyOptions(const EntrySettings& settings) {
  return {.duty = kDuty,
          .self = settings.instance,
          .ttl = std::max<Duration>(kDutyLease, settings.bounds.lease),
          .renew_interval = kDutyRenewInterval,
          .safety_margin = kDutySafetyMargin,
          .retry_interval = kDutyRetryInterval,
          .cooldown = settings.bounds.lease * 2};
}

QuotaBound QuotaBoundOf(const Bounds& bounds) {
  return {.window = bounds.quota_window,
          .overage = bounds.quota_overage,
          .slack = bounds.quota_slack};
}

std::vector<AllocatorCandidate> Candidates(const EntrySettings& settings,
                                           const RecordKeeper& records) {
  std::map<InstanceId, AllocatorCandidate> candidates;
  for (const InstanceRecord& record : records.records()) {
    if (record.alive) {
      candidates[record.instance] = {.instance = record.instance,
                                     .domain = record.domain,
                                     .region = record.region,
                                     .cores = record.cores};
    }
  }
  candidates[settings.instance] = {.instance = settings.instance,
                                   .domain = settings.location.domain,
                                   .region = settings.location.region,
                                   .cores = settings.limits.cores};
  std::vector<AllocatorCandidate> list;
  std::ranges::copy(std::views::values(candidates), std::back_inserter(list));
  return list;
}

bool SameEndpoints(const EntrySettings& a, const EntrySettings& b) {
  return a.callers == b.callers && a.readiness == b.readiness &&
         a.store == b.store && a.duties == b.duties &&
         a.mesh_port == b.mesh_port && a.relay_port == b.relay_port &&
         a.metrics_port == b.metrics_port;
}

SharedRetryBound RetryBoundOf(const Bounds& bounds) {
  return {.share = bounds.retry_share, .slack = bounds.retry_slack};
}

}  // namespace

class EntryNode::Impl {
 public:
  Impl(const EntrySettings& settings, std::string settings_file,
       const PortsFactory& factory)
      : settings_(settings),
        settings_file_(std::move(settings_file)),
        servers_client_(loop_, kServerIdleBound),
        platform_client_(loop_, kPlatformIdleBound),
        ports_(factory(settings_, platform_client_,
                       [this](int64_t era) {
                         return context_.era.Observe(loop_.now(), era);
                       })),
        context_{.loop = loop_,
                 .servers_client = servers_client_,
                 .codec = *ports_.calls,
                 .metrics = metrics_,
                 .clock = AgreedClock(loop_.now(), io::EventLoop::wall_now()),
                 .proof = ConfigProof({.bound = settings_.bounds.revoke}),
                 .listed = ListedServers(),
                 .placement = Placement(PlacingOf(settings_),
                                        settings_.location, seed_()),
                 .placer =
                     RegionPlacer(loop_, settings_.instance, settings_.location,
                                  context_.placement, RandomId()),
                 .retries = RetryBudget(RetryBudgetPerInstance(
                     RetryBoundOf(settings_.bounds), 1, retry_fraction_)),
                 .usage = UsageWindows(settings_.bounds.usage_window),
                 .quotas = QuotaGate(loop_, context_.clock, settings_.instance,
                                     QuotaBoundOf(settings_.bounds), seed_())},
        handler_(context_),
        origins_(context_, *ports_.store, RandomId()),
        run_id_(RandomId()),
        peers_(loop_, settings_),
        feed_(context_, *ports_.store, *ports_.catalog, peers_,
              settings_.instance,
              [this] {
                origins_.OnServers();
                orderer_.OnServers();
                if (rollouts_) {
                  rollouts_->driver.OnServers();
                }
                handler_.Resume();
              }),
        lease_(loop_, *ports_.store, metrics_, DutyOptions(settings_), seed_(),
               [this] {
                 reporter_.OnTaken();
                 orderer_.OnTaken();
                 if (rollouts_) {
                   rollouts_->driver.OnTaken();
                 }
               }),
        records_(
            context_, *ports_.store, settings_, fmt::format("{:016x}", run_id_),
            [this] { return lease_.FenceFor({}).has_value(); },
            [this] { OnRecords(); }),
        reporter_(context_, *ports_.store, *ports_.duties, records_, lease_,
                  settings_.bounds),
        orderer_(context_, *ports_.store, *ports_.duties, lease_,
                 settings_.domains),
        watch_(context_, RandomId(), [this] { handler_.OnCutOff(); }),
        callers_(std::in_place, loop_,
                 CallServerOptions(
                     settings_.callers.port,
                     settings_.limits.memory_bytes / kBodyMemoryDivisor),
                 [this](std::shared_ptr<io::HttpExchange> exchange) {
                   handler_.Handle(std::move(exchange));
                 }),
        relayed_(std::in_place, loop_,
                 CallServerOptions(
                     settings_.relay_port,
                     settings_.limits.memory_bytes / kRelayedBodyMemoryDivisor),
                 [this](std::shared_ptr<io::HttpExchange> exchange) {
                   handler_.HandleFromPeer(std::move(exchange));
                 }),
        readiness_(loop_,
                   {.address = settings_.readiness.address,
                    .port = settings_.readiness.port},
                   [this](const std::shared_ptr<io::HttpExchange>& exchange) {
                     RespondReadiness(*exchange);
                   }),
        metrics_server_(
            loop_,
            {.address = settings_.callers.address,
             .port = settings_.metrics_port},
            [this](const std::shared_ptr<io::HttpExchange>& exchange) {
              if (rollouts_ && exchange->request().path == kRolloutsPath) {
                exchange->Respond(
                    200,
                    {{.name = "content-type", .value = "application/json"}},
                    rollouts_->driver.Json());
                return;
              }
              if (callers_) {
                metrics_.SetHeldBodyBytes(callers_->held_body_bytes());
              }
              exchange->Respond(
                  200, {{.name = "content-type", .value = "text/plain"}},
                  metrics_.Text());
            }) {
    context_.origins = &origins_;
    context_.relays = RelayChoice(settings_.location, RandomId());
    context_.relay_port = settings_.relay_port;
    context_.max_calls = settings_.limits.memory_bytes / kMaxBytesPerCall;
    context_.max_answer_bytes =
        std::min(context_.max_answer_bytes,
                 settings_.limits.memory_bytes / kAnswerMemoryDivisor);
    context_.max_collected_bytes =
        settings_.limits.memory_bytes / kCollectedMemoryDivisor;
    peers_.OnMessage(
        [this](const InstanceId& from, const mesh::Envelope& message) {
          OnPeerMessage(from, message);
        });
    context_.quotas.OnSend(
        [this](const InstanceId& to, const mesh::Envelope& message) {
          peers_.Send(to, message);
        });
    context_.placer.OnSend(
        [this](const InstanceId& to, const mesh::Envelope& message) {
          peers_.Send(to, message);
        });
    context_.placer.OnPrefillLoad(
        [this](const ServiceId& service, double engines) {
          context_.prefill_load.OnPrefillLoad(
              loop_.now(), service, settings_.location.region, engines);
        });
    context_.quotas.OnClockChange(
        [this](Duration change) { OnClockChange("peers", change); });
    feed_.OnClockChange(
        [this](Duration change) { OnClockChange("births", change); });
    reporter_.OnSendToPeers([this](const entrywire::UsageTold& report) {
      SendUsageReport(report);
    });
    context_.on_crash_news = [this] { feed_.PushCrashNews(); };
    if (settings_.first_start) {
      context_.era.MarkNewDeployment();
    }
    context_.era.OnChange(
        [this](StoreEra::Change change) { OnEraChange(change); });
    context_.placement.SetRegions(RegionsOf(settings_));
    context_.placement.limits().SetClock(
        [this](Time now) { return context_.clock.At(now); });
    context_.quotas.SetInstances(kAssumedInstances, {});
    if (settings_.bounds.rollouts) {
      rollouts_.emplace(*this, *settings_.bounds.rollouts);
      feed_.SetRollouts(&rollouts_->feed);
      orderer_.OnHeld([this](const ListedServer& server) {
        return rollouts_->driver.IsUnderRollout(server.service);
      });
    }
  }

  absl::Status Listen() {
    std::vector<io::HttpServer*> servers = {&*callers_, &readiness_,
                                            &metrics_server_};
    if (settings_.relay_port != 0) {
      servers.push_back(&*relayed_);
    }
    for (io::HttpServer* server : servers) {
      if (absl::Status status = server->Listen(); !status.ok()) {
        return status;
      }
    }
    return peers_.Listen();
  }

  void Run() {
    io::SetLogFlusher([this] {
      log_timer_ = loop_.After(kLogDelay, [] { io::FlushLog(); });
    });
    loop_.OnTerminationSignal([this] { StartDrain(); });
    loop_.OnReloadSignal([this] { Reload(); });
    io::Log(io::LogLevel::kInfo, "entry.started",
            {{"pid", getpid()}, {"domain", settings_.location.domain.value()}});
    WatchSettings();
    feed_.Start();
    records_.Start();
    retry_start_timer_ = loop_.After(
        kRetryStartTime, [this] { SetRetryBudget(kAssumedInstances); });
    context_.placer.Start();
    watch_.Start();
    if (rollouts_) {
      rollouts_->reporter.Start();
    }
    lease_.Want(!settings_.duty_names.empty());
    loop_.Run();
    io::Log(io::LogLevel::kInfo, "entry.stopped",
            {{"open", callers_->open_exchanges()}});
    EndOpenCalls();
    io::SetLogFlusher(nullptr);
    io::FlushLog();
  }

 private:
  uint64_t RandomId() { return (uint64_t{seed_()} << 32) | seed_(); }

  // The options of the servers for callers and for peers.
  io::HttpServerOptions CallServerOptions(uint16_t port, size_t body_bytes) {
    return {.address = settings_.callers.address,
            .port = port,
            .max_held_body_bytes = body_bytes,
            .refuse_body =
                [this](const std::shared_ptr<io::HttpExchange>& exchange,
                       const absl::Status& status) {
                  handler_.RefuseBody(exchange, status);
                },
            .idle_timeout = kCallerIdleTimeout};
  }

  void OnRecords() {
    const size_t instances = records_.live_instances();
    origins_.SetInstances(instances);
    context_.coverage.SetInstances(loop_.now(), instances);
    context_.placement.brittle().SetInstances(instances);
    peers_.OnRecords(records_);
    feed_.OnRecords(records_);
    context_.quotas.SetInstances(
        instances,
        RankAllocators(settings_.location, Candidates(settings_, records_)));
    context_.relays.SetPeers(RelayPeers());
    const std::vector<PlacerCandidate> live = PlacerCandidates();
    context_.placer.SetCandidates(live);
    std::vector<InstanceId> live_ids;
    std::ranges::transform(live, std::back_inserter(live_ids),
                           &PlacerCandidate::instance);
    context_.poison.SetInstances(live_ids, settings_.instance);
    context_.placement.limits().SetInstances(live_ids, settings_.instance);
    retry_start_timer_.Cancel();
    SetRetryBudget(most_instances_.Observe(loop_.now(), instances));
    reporter_.OnRecords();
    if (rollouts_) {
      rollouts_->reporter.SetInstances(instances);
      rollouts_->driver.SetInstances(live_ids);
    }
  }

  void SetRetryBudget(size_t instances) {
    context_.retries.SetOptions(RetryBudgetPerInstance(
        RetryBoundOf(settings_.bounds), instances, retry_fraction_));
  }

  void OnEraChange(StoreEra::Change change) {
    const bool restored = change == StoreEra::Change::kRestored;
    io::Log(restored ? io::LogLevel::kWarning : io::LogLevel::kInfo,
            restored ? "store.came_back" : "store.era",
            {{"era", context_.era.current()}});
    lease_.OnEra(context_.era);
    if (restored) {
      feed_.OnNewEra();
      records_.OnNewEra();
      origins_.OnNewEra();
    }
  }

  void SendUsageReport(const entrywire::UsageTold& report) {
    mesh::Envelope envelope;
    *envelope.mutable_usage_told() = report;
    std::set<InstanceId> peers;
    for (const InstanceRecord& record : records_.records()) {
      if (record.alive && record.instance != settings_.instance) {
        peers.insert(record.instance);
      }
    }
    std::ranges::for_each(
        peers | std::views::take(kMaxUsagePeers),
        [&](const InstanceId& peer) { peers_.Send(peer, envelope); });
  }

  std::vector<PlacerCandidate> PlacerCandidates() const {
    std::vector<PlacerCandidate> candidates;
    for (const AllocatorCandidate& live : Candidates(settings_, records_)) {
      candidates.push_back({.instance = live.instance,
                            .region = live.region,
                            .cores = live.cores});
    }
    return candidates;
  }

  std::vector<RelayPeer> RelayPeers() const {
    std::map<InstanceId, RelayPeer> peers;
    for (const InstanceRecord& record : records_.records()) {
      if (record.alive && record.instance != settings_.instance) {
        peers[record.instance] = {
            .instance = record.instance,
            .location = {.region = record.region, .domain = record.domain},
            .cores = record.cores,
            .address = record.address};
      }
    }
    std::vector<RelayPeer> list;
    std::ranges::copy(std::views::values(peers), std::back_inserter(list));
    return list;
  }

  void OnPeerMessage(const InstanceId& from, const mesh::Envelope& message) {
    if (message.has_store_ask() || message.has_store_tell() ||
        message.has_crash_news() || message.has_config_news() ||
        message.has_config_ask() || message.has_config_tell()) {
      feed_.OnMessage(from, message);
    } else if (message.has_quota_ask() || message.has_quota_grant()) {
      context_.quotas.OnMessage(from, message);
    } else if (message.has_place_ask() || message.has_place_tell() ||
               message.has_place_news() || message.has_place_waits()) {
      context_.placer.OnMessage(from, message);
    } else if (message.has_usage_told()) {
      reporter_.OnPeerSums(message.usage_told());
    } else if (rollouts_ && message.has_rollout_report()) {
      rollouts_->driver.OnReport(from, message.rollout_report());
    } else if (rollouts_ && message.has_rollout_tell()) {
      rollouts_->reporter.OnTell(from, message.rollout_tell());
    } else {
      io::Log(io::LogLevel::kWarning, "mesh.unexpected",
              {{"peer", from.value()},
               {"body", static_cast<int>(message.body_case())}});
    }
  }

  // Shifts the usage windows that were counted before the clock changed, and
  // notifies the records.
  void OnClockChange(std::string_view by, Duration change) {
    io::Log(
        io::LogLevel::kWarning, "clock.changed",
        {{"by", by},
         {"ms", std::chrono::duration_cast<std::chrono::milliseconds>(change)
                    .count()}});
    context_.usage.Shift(change);
    records_.OnClockChange();
  }

  bool ready() const {
    return !context_.draining && context_.config != nullptr &&
           context_.listed.has_listing() && !context_.config_superseded &&
           context_.proof.age(loop_.now()) < kMaxReadyProofAge;
  }

  void RespondReadiness(io::HttpExchange& exchange) {
    const bool is_ready = ready();
    if (is_ready != was_ready_) {
      was_ready_ = is_ready;
      io::Log(io::LogLevel::kInfo, "entry.readiness",
              {{"ready", is_ready},
               {"draining", context_.draining},
               {"config", context_.config != nullptr},
               {"superseded", context_.config_superseded},
               {"proof_age_ms",
                std::chrono::duration_cast<std::chrono::milliseconds>(
                    context_.proof.age(loop_.now()))
                    .count()}});
    }
    exchange.Respond(is_ready ? 200 : 503, {}, is_ready ? "ready\n" : "not\n");
  }

  // Rereads the settings file. An invalid file leaves the current settings
  // unchanged.
  void Reload() {
    auto text = io::ReadTextFile(settings_file_);
    auto settings = text.ok() ? ParseEntrySettings(*text, settings_file_)
                              : absl::StatusOr<EntrySettings>(text.status());
    if (!settings.ok()) {
      io::Log(io::LogLevel::kError, "settings.refused",
              {{"file", settings_file_},
               {"reason", std::string(settings.status().message())}});
      return;
    }
    const bool restart_needed = !SameEndpoints(*settings, settings_);
    io::SetLogLevel(settings->log_level);
    context_.proof.SetBound(settings->bounds.revoke);
    settings_.bounds = settings->bounds;
    settings_.limits = settings->limits;
    io::Log(restart_needed ? io::LogLevel::kWarning : io::LogLevel::kInfo,
            "settings.reload",
            {{"file", settings_file_}, {"restart_needed", restart_needed}});
  }

  // Reloads the settings when the file changes without a signal.
  void WatchSettings() {
    struct stat now = {};
    if (stat(settings_file_.c_str(), &now) == 0) {
      const FileVersion version{.written_s = now.st_mtim.tv_sec,
                                .written_ns = now.st_mtim.tv_nsec,
                                .bytes = now.st_size};
      const bool changed = file_version_ && *file_version_ != version;
      file_version_ = version;
      if (changed) {
        Reload();
      }
    }
    settings_timer_ =
        loop_.After(kSettingsCheckInterval, [this] { WatchSettings(); });
  }

  // Reports not ready at once, but accepts new connections until the balancer
  // has stopped sending requests. Then waits for the open calls.
  void StartDrain() {
    if (context_.draining) {
      return;
    }
    context_.draining = true;
    stop_by_ = loop_.now() + settings_.bounds.drain_grace - kStopMargin;
    io::Log(io::LogLevel::kInfo, "entry.draining",
            {{"open", callers_->open_exchanges()}});
    callers_->CloseAfterAnswers();
    relayed_->CloseAfterAnswers();
    context_.quotas.Retire();
    context_.placer.Retire();
    ReleaseDuty();
    drain_timer_ = loop_.After(kBalancerDrainTime, [this] {
      context_.refusing = true;
      callers_->StopAccepting();
      relayed_->StopAccepting();
      WaitForEnd();
    });
  }

  // Ends calls that are still open at the time limit, while the objects that
  // they use still exist: closes their connections and lets the loop notify
  // them.
  void EndOpenCalls() {
    callers_->CloseAllConnections();
    relayed_->CloseAllConnections();
    loop_.Post([this] { loop_.Stop(); });
    loop_.Run();
  }

  // Releases the duty once its pending calls are answered, so that none of them
  // arrives after a call of the next holder.
  void ReleaseDuty() {
    const bool writes_stage = rollouts_ && rollouts_->driver.busy();
    if (reporter_.busy() || orderer_.busy() || writes_stage) {
      duty_timer_ = loop_.After(kStopPollInterval, [this] { ReleaseDuty(); });
      return;
    }
    lease_.Want(false);
  }

  void WaitForEnd() {
    const bool idle = callers_->open_exchanges() == 0 &&
                      callers_->open_connections() == 0 &&
                      relayed_->open_exchanges() == 0;
    if (idle || loop_.now() >= stop_by_) {
      io::Log(io::LogLevel::kInfo, "entry.stopping",
              {{"calls_given_up", handler_.EndOpenCalls()}});
      duty_timer_ = loop_.After(kLastWriteTimeout, [this] { loop_.Stop(); });
      records_.WriteLast([this] { loop_.Stop(); });
      return;
    }
    drain_timer_ = loop_.After(kStopPollInterval, [this] { WaitForEnd(); });
  }

  // The roll-outs of a deployment whose settings name their bounds.
  struct Rollouts {
    Rollouts(Impl& impl, const RolloutBounds& bounds)
        : split({}, std::uniform_real_distribution<double>()(impl.seed_)),
          feed(impl.context_, *impl.ports_.store, *impl.ports_.catalog,
               [this] { driver.OnFeed(); }),
          driver(impl.context_, *impl.ports_.store, *impl.ports_.catalog,
                 impl.lease_, feed, impl.settings_.instance, bounds,
                 [&impl](const InstanceId& to, const mesh::Envelope& message) {
                   impl.peers_.Send(to, message);
                 }),
          reporter(
              impl.context_, feed, impl.settings_.instance,
              [&impl](const InstanceId& to, const mesh::Envelope& message) {
                impl.peers_.Send(to, message);
                return impl.peers_.Knows(to);
              },
              [this](const std::vector<RolloutEvidence>& evidence) {
                driver.OnOwnCounts(evidence);
              }) {
      impl.context_.rollouts = &split;
      impl.context_.rollout_feed = &feed;
    }

    RolloutSplit split;
    RolloutFeed feed;
    RolloutDriver driver;
    RolloutReporter reporter;
  };

  EntrySettings settings_;
  std::string settings_file_;
  std::random_device seed_;
  double retry_fraction_ = std::uniform_real_distribution<double>()(seed_);
  RecentMaximum most_instances_{kInstancesMemory};
  io::EventLoop loop_;
  EntryMetrics metrics_;
  io::HttpClient servers_client_;
  io::HttpClient platform_client_;
  Ports ports_;
  CallContext context_;
  std::optional<Rollouts> rollouts_;  // The open calls use it.
  CallHandler handler_;
  OriginKeeper origins_;
  uint64_t run_id_;
  PeerMesh peers_;
  StoreFeed feed_;
  DutyLease lease_;
  RecordKeeper records_;
  UsageReporter reporter_;
  SizeOrderer orderer_;
  ServerWatch watch_;
  std::optional<io::HttpServer> callers_;
  std::optional<io::HttpServer> relayed_;  // Calls that peers relay.
  io::HttpServer readiness_;
  io::HttpServer metrics_server_;
  bool was_ready_ = false;
  Time stop_by_;
  io::Timer retry_start_timer_;
  io::Timer log_timer_;
  io::Timer drain_timer_;
  io::Timer duty_timer_;
  struct FileVersion {
    int64_t written_s = 0;
    int64_t written_ns = 0;
    int64_t bytes = 0;

    bool operator==(const FileVersion&) const = default;
  };
  std::optional<FileVersion> file_version_;
  io::Timer settings_timer_;
};

EntryNode::EntryNode(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

EntryNode::~EntryNode() = default;

absl::StatusOr<std::unique_ptr<EntryNode>> EntryNode::Create(
    const EntrySettings& settings, std::string settings_file,
    const PortsFactory& factory) {
  auto impl =
      std::make_unique<Impl>(settings, std::move(settings_file), factory);
  if (absl::Status status = impl->Listen(); !status.ok()) {
    return status;
  }
  return std::unique_ptr<EntryNode>(new EntryNode(std::move(impl)));
}

void EntryNode::Run() { impl_->Run(); }

}  // namespace oleander::entry
