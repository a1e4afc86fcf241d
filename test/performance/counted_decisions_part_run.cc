// The simulation's event loop: engines, instances, delayed reports and the
// cloud's reclaim waves.
#include <algorithm>
#include <functional>
#include <map>
#include <numeric>
#include <queue>

#include "absl/container/flat_hash_set.h"
#include "counted_decisions.h"

namespace oleander::bench {
namespace {

constexpr Duration kReportEvery = std::chrono::milliseconds(500);
constexpr Duration kStartDelay = std::chrono::seconds(5);
constexpr Duration kNotice = std::chrono::seconds(5);
constexpr Duration kRetryAfter = std::chrono::milliseconds(200);
constexpr Duration kShareWindow = std::chrono::seconds(10);
constexpr Duration kLinkDelay = std::chrono::milliseconds(40);
constexpr double kLinkBytesPerSecond = 3'750'000;
constexpr double kHiddenSpeed = 0.1;
constexpr double kEventLoss = 0.05;
constexpr int kFirstServers = 9;
// Factor from simulated time to the planner's clock, so that a simulated hour
// (kHour) is an hour for the planner.
constexpr int kPlannerScale = 36;

Time PlannerTime(Time now) {
  return Time{} + now.time_since_epoch() * kPlannerScale;
}

Duration ToDuration(Seconds seconds) {
  return std::chrono::duration_cast<Duration>(seconds);
}

double Percentile(std::vector<double>& samples, size_t percent) {
  if (samples.empty()) return 0;
  const auto place = samples.begin() + static_cast<std::ptrdiff_t>(
                                           samples.size() * percent / 100);
  std::ranges::nth_element(samples, place);
  return *place;
}

class Simulation {
 public:
  Simulation(const RunOptions& options, const Workload& workload)
      : options_(options),
        workload_(workload),
        random_(options.seed * 31 + 5),
        cloud_(options.seed, options.scenario),
        planner_(PlannerOptions(), PlannerProfile()) {
    for (int i = 0; i < kInstances; ++i) {
      policies_.push_back(
          MakePolicy(options.policy, options.user, i, options.seed * 100 + i));
      AdmissionOptions limits;
      limits.initial_limit = 20;
      admissions_.push_back(std::make_unique<Admission>(limits));
    }
    states_.resize(workload.calls.size());
  }

  RunResult Run() {
    const int first =
        options_.fixed_servers > 0 ? options_.fixed_servers : kFirstServers;
    for (int i = 0; i < first; ++i) {
      const bool cheap = (i * 43) % 100 + 43 >= 100;
      StartEngine(Time{},
                  KeyFor(i % kDomains,
                         cheap ? Market::kReclaimable : Market::kOnDemand),
                  Duration::zero());
    }
    At(Time{}, [this](Time now) { EveryTick(now); });
    At(Time{}, [this](Time now) { EverySecond(now); });
    for (const Cloud::Wave& wave : cloud_.waves()) {
      At(wave.at, [this, wave](Time now) { StartWave(now, wave); });
    }
    // One server becomes slow for two hours but still reports its usual rates.
    At(Time{} + 13 * kHour, [this](Time now) { SlowDown(now); });
    if (!workload_.calls.empty()) ScheduleArrival(0);
    const Time stop = workload_.end + std::chrono::seconds(60);
    while (!events_.empty() && events_.top().at <= stop) {
      const Event event = events_.top();
      events_.pop();
      event.run(event.at);
    }
    result_.calls = static_cast<int64_t>(workload_.calls.size());
    result_.first_token_p95 = Percentile(first_tokens_, 95);
    result_.first_token_p99 = Percentile(first_tokens_, 99);
    result_.after_loss_p95 = Percentile(after_loss_first_tokens_, 95);
    result_.between_p95 = Percentile(between_tokens_, 95);
    result_.mean_servers /= Seconds(stop.time_since_epoch()).count();
    return result_;
  }

 private:
  struct Event {
    Time at;
    uint64_t sequence;
    std::function<void(Time)> run;
    bool operator<(const Event& other) const {
      return std::tie(at, sequence) > std::tie(other.at, other.sequence);
    }
  };
  struct CallRecord {
    Time at;
    int workspace;
  };
  struct CallState {
    int instance = 0;
    int generated = 0;
    bool has_first_token = false;
    bool admitted = false;
  };

  static CapacityOptions PlannerOptions() {
    CapacityOptions options;
    options.service = ServiceId("model");
    options.scale_down_after = std::chrono::minutes(45);
    options.refusal_cooldown = std::chrono::minutes(30);
    options.start_timeout = std::chrono::hours(1);
    options.max_list_age = std::chrono::hours(1);
    options.move_interval = std::chrono::hours(1);
    options.observe_after_takeover = Duration::zero();
    options.drain_grace_period = std::chrono::seconds(60) * kPlannerScale;
    return options;
  }
  Profile PlannerProfile() const {
    Profile profile;
    profile.weights = WeightsOf(options_.user);
    profile.capacity.min_servers = 3;
    return profile;
  }

  void At(Time at, std::function<void(Time)> run) {
    events_.push({at, sequence_++, std::move(run)});
  }

  void ScheduleArrival(size_t call) {
    At(workload_.calls[call].arrives, [this, call](Time now) {
      if (call + 1 < workload_.calls.size()) ScheduleArrival(call + 1);
      Arrive(now, static_cast<int>(call));
    });
  }

  // Returns the instance, or the next one outside the lost domain, as a load
  // balancer would select it.
  int LiveInstance(int instance) const {
    while (lost_domain_ >= 0 && instance % kDomains == lost_domain_) {
      instance = (instance + 1) % kInstances;
    }
    return instance;
  }

  void Arrive(Time now, int index) {
    const Call& call = workload_.calls[index];
    CallState& state = states_[index];
    state.instance = LiveInstance(call.instance);
    if (!options_.admission) return Dispatch(now, index);
    AdmissionQuery query;
    query.id = index;
    query.service = ServiceId("model");
    query.workspace = WorkspaceId(std::to_string(call.workspace));
    query.priority =
        call.interactive ? Priority::kInteractive : Priority::kBatch;
    const auto route =
        policies_[state.instance]->Choose(now, call, random_.Bits());
    if (route.ok()) query.expected_first_token = route->expected_first_token;
    if (call.interactive) {
      query.first_token_target = std::chrono::milliseconds(1500);
    }
    query.cost_tokens = call.answer_tokens + call.prompt_tokens / 8.0;
    offered_calls_[state.instance].push_back({now, call.workspace});
    const AdmissionDecision decision =
        admissions_[state.instance]->Offer(now, query);
    if (decision.kind == AdmissionKind::kAdmit) Dispatch(now, index);
    if (decision.kind == AdmissionKind::kRefuse) Refused(now, index);
  }

  // Returns true if the workspace's calls at its instance were at most an equal
  // share of the calls that the instance dispatched in the last kShareWindow.
  bool WithinShare(Time now, const Call& call) {
    const auto recent = [&](std::deque<CallRecord>& records, auto&& counts) {
      while (!records.empty() && records.front().at < now - kShareWindow) {
        records.pop_front();
      }
      return std::ranges::count_if(records, counts);
    };
    const auto everyone = [](const CallRecord&) { return true; };
    const auto same_workspace = [&](const CallRecord& each) {
      return each.workspace == call.workspace;
    };
    return recent(offered_calls_[call.instance], same_workspace) *
               kWorkspaces <=
           recent(dispatched_calls_[call.instance], everyone);
  }

  void Refused(Time now, int index) {
    const Call& call = workload_.calls[index];
    ++result_.refused;
    if (now - call.arrives > std::chrono::milliseconds(100)) {
      ++result_.late_refusals;
    }
    if (WithinShare(now, call)) ++result_.fairness_violations;
  }

  void Dispatch(Time now, int index) {
    const Call& call = workload_.calls[index];
    CallState& state = states_[index];
    state.instance = LiveInstance(state.instance);
    Policy& policy = *policies_[state.instance];
    const auto route = policy.Choose(now, call, random_.Bits());
    Engine* engine = route.ok() ? engines_.at(route->server).get() : nullptr;
    if (engine == nullptr || !engine->alive) {
      if (engine != nullptr) policy.OnLeaving(now, engine->info.id);
      At(now + kRetryAfter, [this, index](Time at) { Dispatch(at, index); });
      return;
    }
    const uint64_t attempt = ++attempts_;
    policy.OnDispatched(now, call, attempt, *route);
    dispatched_calls_[state.instance].push_back({now, call.workspace});
    const Job job{.call = index,
                  .attempt = attempt,
                  .answer_tokens = call.answer_tokens - state.generated,
                  .prompt_tokens = call.prompt_tokens + state.generated};
    if (engine->info.location.region ==
        LocationOf(state.instance % kDomains).region) {
      return Enter(now, *engine, job);
    }
    // Adds the link's delay in both directions and the transfer time; transfers
    // run one after another.
    const int bytes = call.prompt_tokens * 6 + call.answer_tokens * 200;
    result_.crossed_bytes += bytes;
    link_free_ = std::max(link_free_, now) +
                 ToDuration(Seconds(bytes / kLinkBytesPerSecond));
    At(link_free_ + kLinkDelay, [this, engine, job](Time at) {
      if (!engine->alive) {
        return At(at,
                  [this, call = job.call](Time then) { Dispatch(then, call); });
      }
      Enter(at, *engine, job);
    });
  }

  // Engines serve interactive calls before reviews.
  void Enter(Time now, Engine& engine, const Job& job) {
    const bool interactive = workload_.calls[job.call].interactive;
    const auto place =
        std::ranges::find_if(engine.waiting, [&](const Job& other) {
          return interactive && !workload_.calls[other.call].interactive;
        });
    engine.waiting.insert(place, job);
    Advance(now, engine);
  }

  void Advance(Time now, Engine& engine) {
    while (engine.running() < Engine::kSlots && !engine.waiting.empty()) {
      engine.prefilling.push_back(engine.waiting.front());
      engine.waiting.erase(engine.waiting.begin());
    }
    if (engine.prefill_busy || engine.prefilling.empty()) return;
    const Job job = engine.prefilling.front();
    const Call& call = workload_.calls[job.call];
    const int cached = engine.CachedBlocks(call.blocks);
    const int uncached = job.prompt_tokens - cached * kWordsPerBlock;
    CountRecomputed(call, cached, states_[job.call].generated);
    result_.prefilled_tokens += uncached;
    engine.prefill_busy = true;
    At(now +
           ToDuration(Seconds(uncached / (Engine::kPrefillRate * engine.speed *
                                          engine.hidden_speed))),
       [this, &engine, job, cached](Time at) {
         if (engine.alive) Prefilled(at, engine, job, cached);
       });
  }

  void CountRecomputed(const Call& call, int cached, int generated) {
    result_.recomputed_tokens += generated;
    for (size_t i = cached; i < call.blocks.size(); ++i) {
      if (!computed_.insert(call.blocks[i]).second) {
        result_.recomputed_tokens += kWordsPerBlock;
      }
    }
  }

  void Prefilled(Time now, Engine& engine, Job job, int cached) {
    const Call& call = workload_.calls[job.call];
    CallState& state = states_[job.call];
    engine.prefill_busy = false;
    engine.prefilling.erase(engine.prefilling.begin());
    engine.Touch(call.blocks);
    job.first_token = now;
    engine.decoding.push_back(job);
    policies_[state.instance]->OnFirstToken(now, job.attempt);
    if (options_.admission) {
      admissions_[state.instance]->OnFirstToken(now, job.call);
    }
    if (!state.has_first_token && call.interactive) {
      const double waited = Seconds(now - call.arrives).count();
      first_tokens_.push_back(waited);
      if (loss_at_ <= call.arrives &&
          call.arrives < loss_at_ + std::chrono::seconds(60)) {
        after_loss_first_tokens_.push_back(waited);
      }
    }
    state.has_first_token = true;
    between_tokens_.push_back(engine.BetweenTokens().count());
    At(now + ToDuration(engine.BetweenTokens() * job.answer_tokens),
       [this, &engine, job, cached](Time at) {
         Ended(at, engine, job, cached);
       });
    Advance(now, engine);
  }

  void Ended(Time now, Engine& engine, const Job& job, int cached) {
    if (std::erase_if(engine.decoding, [&](const Job& each) {
          return each.attempt == job.attempt;
        }) == 0) {
      return;
    }
    const int instance = states_[job.call].instance;
    policies_[instance]->OnEnded(now, job.attempt, true,
                                 cached * kWordsPerBlock);
    if (options_.admission) admissions_[instance]->OnFinished(now, job.call);
    ++result_.answered;
    Advance(now, engine);
  }

  void Kill(Time now, Engine& engine) {
    engine.alive = false;
    std::vector<Job> lost = std::move(engine.waiting);
    lost.insert(lost.end(), engine.prefilling.begin(), engine.prefilling.end());
    lost.insert(lost.end(), engine.decoding.begin(), engine.decoding.end());
    for (const Job& job : engine.decoding) {
      const int made =
          static_cast<int>((now - job.first_token) / engine.BetweenTokens());
      states_[job.call].generated += std::min(made, job.answer_tokens - 1);
    }
    engine.waiting.clear(), engine.prefilling.clear(), engine.decoding.clear();
    for (const Job& job : lost) {
      policies_[states_[job.call].instance]->OnEnded(now, job.attempt, false,
                                                     0);
      At(now + kRetryAfter,
         [this, call = job.call](Time at) { Dispatch(at, call); });
    }
    if (options_.fixed_servers > 0) Replace(now, engine.info);
  }

  void Replace(Time now, const ServerInfo& lost) {
    const int domain = lost.location.domain.value().back() - '0';
    for (const Market market : {lost.market, Market::kOnDemand}) {
      if (cloud_.Refuses(now, KeyFor(domain, market))) continue;
      StartEngine(now, KeyFor(domain, market), kStartDelay);
      return;
    }
  }

  ServerId StartEngine(Time now, const MarketKey& key, Duration delay) {
    auto engine = std::make_unique<Engine>();
    engine->info.id = ServerId("engine-" + std::to_string(engines_.size()));
    engine->info.service = ServiceId("model");
    engine->info.location = LocationOf(key.domain.value().back() - '0');
    engine->info.machine_class = key.machine_class;
    engine->info.market = key.market;
    engine->speed = random_.Between(0.75, 1.15);
    engine->starts = now + delay;
    const ServerId id = engine->info.id;
    engines_[id] = std::move(engine);
    return id;
  }

  void SlowDown(Time now) {
    const auto slow = std::ranges::find_if(engines_, [&](const auto& entry) {
      return entry.second->alive && !entry.second->leaving &&
             entry.second->starts <= now;
    });
    if (slow == engines_.end()) return;
    slow->second->hidden_speed = kHiddenSpeed;
    At(now + 2 * kHour, [slow](Time) { slow->second->hidden_speed = 1; });
  }

  // A reclaim wave stops a domain's reclaimable servers after a notice; a
  // domain loss stops all its servers immediately.
  void StartWave(Time now, const Cloud::Wave& wave) {
    const DomainId domain = LocationOf(wave.domain).domain;
    if (wave.whole_domain) lost_domain_ = wave.domain, loss_at_ = now;
    for (const auto& [id, owned] : engines_) {
      Engine& engine = *owned;
      const bool hit =
          engine.alive && engine.info.location.domain == domain &&
          (wave.whole_domain || engine.info.market == Market::kReclaimable);
      if (!hit) continue;
      planner_.OnReclaimed(PlannerTime(now),
                           KeyFor(wave.domain, engine.info.market), 1);
      if (wave.whole_domain) {
        At(now, [this, &engine](Time at) { Kill(at, engine); });
        continue;
      }
      engine.leaving = true;
      At(now + kNotice, [this, &engine](Time at) {
        if (engine.alive) Kill(at, engine);
      });
    }
  }

  // Samples every engine and delivers the reports to the instances after a
  // delay.
  void EveryTick(Time now) {
    std::vector<ServerLoad> loads;
    std::vector<std::pair<ServerId, std::vector<CacheEvent>>> events;
    std::vector<ServerInfo> listed;
    for (const auto& [id, engine] : engines_) {
      if (!engine->alive || engine->starts > now) continue;
      listed.push_back(engine->info);
      loads.push_back(LoadOf(*engine));
      std::vector<CacheEvent> retained = std::move(engine->events);
      engine->events.clear();
      std::erase_if(retained, [&](const CacheEvent&) {
        return random_.Unit() < kEventLoss;
      });
      if (!retained.empty()) events.emplace_back(id, std::move(retained));
    }
    const Duration lag = ToDuration(Seconds(random_.Between(0.1, 0.9)));
    At(now + lag, [this, lag, loads = std::move(loads),
                   listed = std::move(listed)](Time at) mutable {
      for (const auto& policy : policies_) {
        if (listed != listed_) policy->SetServers(at, listed);
        for (ServerLoad& load : loads) {
          load.age = lag;
          policy->OnLoad(at, load);
        }
      }
      listed_ = listed;
    });
    At(now + std::chrono::seconds(1),
       [this, events = std::move(events)](Time at) {
         for (const auto& policy : policies_) {
           for (const auto& [id, list] : events) policy->OnEvents(at, id, list);
         }
       });
    if (now < workload_.end + std::chrono::seconds(60)) {
      At(now + kReportEvery, [this](Time at) { EveryTick(at); });
    }
    if (options_.admission) TickAdmission(now);
  }

  void TickAdmission(Time now) {
    for (int step = 0; step < 10; ++step) {
      At(now + step * kReportEvery / 10, [this](Time at) {
        for (const auto& admission : admissions_) {
          for (const AdmissionRelease& each : admission->Tick(at)) {
            const int call = static_cast<int>(each.id);
            each.status.ok() ? Dispatch(at, call) : Refused(at, call);
          }
        }
      });
    }
  }

  ServerLoad LoadOf(const Engine& engine) const {
    ServerLoad load;
    load.server = engine.info.id;
    load.running = engine.running();
    load.waiting = static_cast<int>(engine.waiting.size());
    load.slots = Engine::kSlots;
    load.prefill_tokens_per_s = Engine::kPrefillRate * engine.speed;
    load.leaving = engine.leaving;
    for (const auto* jobs : {&engine.waiting, &engine.prefilling}) {
      for (const Job& job : *jobs) {
        load.queued_tokens +=
            job.prompt_tokens -
            engine.CachedBlocks(workload_.calls[job.call].blocks) *
                kWordsPerBlock;
      }
    }
    return load;
  }

  void EverySecond(Time now) {
    std::vector<CapacityServer> servers;
    double busy = 0, interactive = 0, calls = 0;
    for (const auto& [id, engine] : engines_) {
      if (!engine->alive) continue;
      result_.cost +=
          cloud_.Price(now,
                       KeyFor(engine->info.location.domain.value().back() - '0',
                              engine->info.market)) /
          Seconds(kHour).count();
      result_.mean_servers += 1;
      const int work =
          engine->running() + static_cast<int>(engine->waiting.size());
      servers.push_back({engine->info, engine->leaving, work, {}, {}});
      busy += std::max<double>(work / double{Engine::kSlots},
                               engine->prefilling.empty() ? 0 : 1);
      for (const auto* jobs :
           {&engine->waiting, &engine->prefilling, &engine->decoding}) {
        calls += static_cast<double>(jobs->size());
        interactive += static_cast<double>(
            std::ranges::count_if(*jobs, [&](const Job& job) {
              return workload_.calls[job.call].interactive;
            }));
      }
    }
    if (options_.fixed_servers == 0) {
      PlanFleet(now, servers, busy, calls > 0 ? interactive / calls : 1);
    }
    if (now < workload_.end + std::chrono::seconds(60)) {
      At(now + std::chrono::seconds(1), [this](Time at) { EverySecond(at); });
    }
  }

  void PlanFleet(Time now, const std::vector<CapacityServer>& servers,
                 double busy, double interactive) {
    busy_ += 0.15 * (busy - busy_);
    const Time planner_now = PlannerTime(now);
    planner_.SetPrices(cloud_.Prices(now));
    planner_.SetServers(planner_now, servers);
    planner_.OnDemand(planner_now,
                      {.interactive = busy_ * interactive, .total = busy_});
    if (now < Time{} + std::chrono::seconds(10)) return;
    for (const CapacityOrder& order :
         planner_.Plan(planner_now, {.fence = 1, .valid_until = Time::max()})) {
      if (const auto* start = std::get_if<StartInstance>(&order)) {
        const bool refused = cloud_.Refuses(now, start->key);
        const absl::StatusOr<ServerId> answer =
            refused ? absl::StatusOr<ServerId>(
                          MakeError(ResultCode::kPlatformRefused, "None left."))
                    : StartEngine(now, start->key, kStartDelay);
        planner_.OnStarted(planner_now, start->client_token, answer);
      } else if (const auto* drain = std::get_if<DrainServer>(&order)) {
        for (const auto& policy : policies_) {
          policy->OnDraining(now, drain->server,
                             now + drain->grace_period / kPlannerScale);
        }
        At(now + drain->grace_period / kPlannerScale,
           [this, id = drain->server](Time) {
             engines_.at(id)->leaving = true;
           });
      } else if (const auto* stop = std::get_if<StopInstance>(&order)) {
        Kill(now, *engines_.at(stop->server));
      }
    }
  }

  RunOptions options_;
  const Workload& workload_;
  Random random_;
  Cloud cloud_;
  CapacityPlanner planner_;
  RunResult result_;
  std::priority_queue<Event> events_;
  uint64_t sequence_ = 0;
  uint64_t attempts_ = 0;
  std::map<ServerId, std::unique_ptr<Engine>> engines_;
  std::vector<std::unique_ptr<Policy>> policies_;
  std::vector<std::unique_ptr<Admission>> admissions_;
  std::vector<CallState> states_;
  std::deque<CallRecord> offered_calls_[kInstances],
      dispatched_calls_[kInstances];
  std::vector<ServerInfo> listed_;
  absl::flat_hash_set<BlockHash> computed_;
  std::vector<double> first_tokens_, after_loss_first_tokens_, between_tokens_;
  double busy_ = kFirstServers * 0.5;
  Time link_free_{};
  int lost_domain_ = -1;
  Time loss_at_ = Time::max();
};

}  // namespace

int Engine::CachedBlocks(const std::vector<BlockHash>& blocks) const {
  const auto missing = std::ranges::find_if(
      blocks, [this](BlockHash block) { return !cached.contains(block); });
  return static_cast<int>(missing - blocks.begin());
}

// Touches blocks in reverse, so that the last blocks of a prefix are evicted
// first.
void Engine::Touch(const std::vector<BlockHash>& blocks) {
  for (auto block = blocks.rbegin(); block != blocks.rend(); ++block) {
    const auto known = cached.find(*block);
    if (known != cached.end()) {
      recent.splice(recent.begin(), recent, known->second);
      continue;
    }
    recent.push_front(*block);
    cached[*block] = recent.begin();
    events.push_back({next_event++, CacheEventKind::kStored, *block});
  }
  while (recent.size() > kCacheBlocks) {
    events.push_back({next_event++, CacheEventKind::kEvicted, recent.back()});
    cached.erase(recent.back());
    recent.pop_back();
  }
}

RunResult Run(const RunOptions& options, const Workload& workload) {
  return Simulation(options, workload).Run();
}

}  // namespace oleander::bench
