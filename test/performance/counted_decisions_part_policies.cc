// The baselines, and the router under test.
#include <algorithm>

#include "counted_decisions.h"

namespace oleander::bench {
namespace {

// State that all baselines share: the available servers, their last reported
// load and this instance's calls in progress.
class Baseline : public Policy {
 public:
  void SetServers(Time, std::span<const ServerInfo> servers) override {
    std::vector<State> retained;
    for (const ServerInfo& info : servers) {
      const auto known = std::ranges::find(servers_, info.id, &State::id);
      retained.push_back(known == servers_.end() ? State{info.id} : *known);
    }
    servers_ = std::move(retained);
  }
  void OnLoad(Time, const ServerLoad& load) override {
    State* server = Find(load.server);
    if (server == nullptr) return;
    server->reported = load.running + load.waiting;
    server->ready = true;
    server->leaving = server->leaving || load.leaving;
  }
  void OnLeaving(Time, const ServerId& id) override {
    if (State* server = Find(id)) server->leaving = true;
  }
  absl::StatusOr<Route> Choose(Time now, const Call& call,
                               uint64_t random_bits) override {
    std::vector<State*> usable;
    for (State& server : servers_) {
      if (server.ready && !server.leaving) usable.push_back(&server);
    }
    if (usable.empty()) return MakeError(ResultCode::kNoServer, "None.");
    return Route{.server = Pick(now, call, random_bits, usable)->id};
  }
  void OnDispatched(Time, const Call&, uint64_t attempt,
                    const Route& route) override {
    attempts_by_id_[attempt] = route.server;
    if (State* server = Find(route.server)) ++server->local;
  }
  void OnEnded(Time, uint64_t attempt, bool, int) override {
    const auto found = attempts_by_id_.find(attempt);
    if (found == attempts_by_id_.end()) return;
    if (State* server = Find(found->second)) --server->local;
    attempts_by_id_.erase(found);
  }

 protected:
  struct State {
    ServerId id;
    int reported = 0;
    int local = 0;
    bool ready = false;
    bool leaving = false;
  };
  virtual State* Pick(Time, const Call&, uint64_t random_bits,
                      const std::vector<State*>& usable) = 0;
  State* Find(const ServerId& id) {
    const auto found = std::ranges::find(servers_, id, &State::id);
    return found == servers_.end() ? nullptr : &*found;
  }

 private:
  std::vector<State> servers_;
  absl::flat_hash_map<uint64_t, ServerId> attempts_by_id_;
};

class RoundRobin : public Baseline {
  State* Pick(Time, const Call&, uint64_t,
              const std::vector<State*>& usable) override {
    return usable[next_++ % usable.size()];
  }
  size_t next_ = 0;
};

class LeastOutstanding : public Baseline {
  State* Pick(Time, const Call&, uint64_t random_bits,
              const std::vector<State*>& usable) override {
    std::vector<State*> rotated = usable;
    std::ranges::rotate(
        rotated, rotated.begin() +
                     static_cast<std::ptrdiff_t>(random_bits % rotated.size()));
    return *std::ranges::min_element(rotated, {}, &State::local);
  }
};

class TwoChoices : public Baseline {
  State* Pick(Time, const Call&, uint64_t random_bits,
              const std::vector<State*>& usable) override {
    State* first = usable[random_bits % usable.size()];
    State* second = usable[(random_bits >> 32) % usable.size()];
    const auto load = [](const State* s) { return s->reported + s->local; };
    return load(second) < load(first) ? second : first;
  }
};

// Rendezvous hashing by one block of the prompt: the first block, which the
// workspace shares, or the conversation's first block.
class PrefixHash : public Baseline {
 public:
  explicit PrefixHash(int block) : block_(block) {}

 private:
  State* Pick(Time, const Call& call, uint64_t,
              const std::vector<State*>& usable) override {
    const size_t last = call.blocks.size() - 1;
    // Status checks and reviews share 8 blocks, chats 24.
    const size_t at =
        block_ == 0
            ? 0
            : std::min<size_t>(
                  call.blocks.size() > 24 && call.blocks.size() < 60 ? 24 : 8,
                  last);
    return *std::ranges::max_element(usable, {}, [&](const State* server) {
      uint64_t mixed =
          std::hash<std::string>{}(server->id.value()) ^ call.blocks[at];
      mixed = (mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9ULL;
      return mixed ^ (mixed >> 27);
    });
  }
  int block_;
};

// The router under test. `without` names the score term that is left out.
class RouterPolicy : public Policy {
 public:
  RouterPolicy(User user, int instance, uint64_t seed, std::string without)
      : without_(std::move(without)), router_(Options(instance, seed)) {
    weights_ = WeightsOf(user);
  }
  void SetServers(Time now, std::span<const ServerInfo> servers) override {
    router_.SetServers(now, servers);
  }
  void OnLoad(Time now, const ServerLoad& load) override {
    ServerLoad reported = load;
    if (without_ == "queue") reported.running = reported.waiting = 0;
    if (without_ == "queue") reported.queued_tokens = 0;
    if (without_ == "rate") {
      reported.prefill_tokens_per_s = Engine::kPrefillRate;
    }
    router_.OnLoad(now, reported);
  }
  void OnEvents(Time now, const ServerId& id,
                std::span<const CacheEvent> events) override {
    if (without_ != "events") router_.OnCacheEvents(now, id, events);
  }
  void OnLeaving(Time now, const ServerId& id) override {
    router_.OnLeaving(now, id);
  }
  void OnDraining(Time now, const ServerId& id, Time until) override {
    router_.OnDraining(now, id, until);
  }
  absl::StatusOr<Route> Choose(Time now, const Call& call,
                               uint64_t random_bits) override {
    RouteQuery query;
    query.service = ServiceId("model");
    if (without_ != "prefix") query.blocks = call.blocks;
    query.prompt_tokens = call.prompt_tokens;
    query.max_tokens = call.answer_tokens;
    query.bytes = Bytes(call);
    query.weights = weights_;
    if (!call.interactive) query.first_token_target = std::chrono::seconds(10);
    query.random_bits = random_bits;
    return router_.Choose(now, query);
  }
  void OnDispatched(Time now, const Call& call, uint64_t attempt,
                    const Route& route) override {
    router_.OnDispatched(now,
                         {.attempt = attempt,
                          .service = ServiceId("model"),
                          .server = route.server,
                          .blocks = call.blocks,
                          .prompt_tokens = call.prompt_tokens,
                          .cached_tokens = route.cached_tokens,
                          .max_tokens = call.answer_tokens,
                          .bytes = Bytes(call),
                          .expected_first_token = route.expected_first_token});
    if (without_ == "lag") {
      router_.OnEnded(now, attempt, {.outcome = CallOutcome::kCancelled});
    }
  }
  void OnFirstToken(Time now, uint64_t attempt) override {
    router_.OnFirstToken(now, attempt);
  }
  void OnEnded(Time now, uint64_t attempt, bool answered, int) override {
    router_.OnEnded(now, attempt,
                    {.outcome = answered ? CallOutcome::kAnswered
                                         : CallOutcome::kCancelled});
  }

 private:
  static int64_t Bytes(const Call& call) {
    return call.prompt_tokens * 6 + call.answer_tokens * 200;
  }
  RoutingOptions Options(int instance, uint64_t seed) const {
    RoutingOptions options;
    options.location = LocationOf(instance % kDomains);
    options.seed = seed;
    if (without_ == "eviction") options.eviction_factor = 0;
    if (without_ == "crowding") options.full_batch_penalty = Duration::zero();
    if (without_ == "outliers") options.outliers.slow_factor = 1e9;
    if (without_ == "spill") options.spill_wait = std::chrono::hours(1);
    if (without_ == "link") {
      options.link_delay = options.domain_delay = Duration::zero();
      options.link_bytes_per_s = options.link_burst_bytes = 1e15;
    }
    return options;
  }
  std::string without_;
  Router router_;
  MeasureWeights weights_;
};

}  // namespace

std::unique_ptr<Policy> MakePolicy(const std::string& name, User user,
                                   int instance, uint64_t seed) {
  if (name == "round robin") return std::make_unique<RoundRobin>();
  if (name == "least outstanding") return std::make_unique<LeastOutstanding>();
  if (name == "two choices") return std::make_unique<TwoChoices>();
  if (name == "prefix workspace") return std::make_unique<PrefixHash>(0);
  if (name == "prefix conversation") return std::make_unique<PrefixHash>(1);
  const size_t dash = name.find('-');
  return std::make_unique<RouterPolicy>(
      user, instance, seed,
      dash == std::string::npos ? "" : name.substr(dash + 1));
}

}  // namespace oleander::bench
