// Engines and the instances that send to them, in virtual time: what callers
// get from a way of choosing engines.
//
// Engines read one prompt after the other, the most urgent first, and keep the
// leading parts that they have read; the first event follows the reading. Sizes
// are heavy-tailed, long prompts share long parts of some dozens of subjects.
#ifndef OLEANDER_TEST_SUPPORT_ENGINE_WORLD_H_
#define OLEANDER_TEST_SUPPORT_ENGINE_WORLD_H_

#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "oleander/placement.h"

namespace oleander::testing {

// One way of choosing, for all instances together. `instance` is the one that
// the caller spoke to.
class ChoosingPolicy {
 public:
  virtual ~ChoosingPolicy() = default;
  virtual ServerId Choose(Time now, int instance,
                          const PlacementRequest& request) = 0;
  virtual uint64_t OnSent(Time now, int instance, const ServerId& engine,
                          const Prompt& prompt) = 0;
  virtual void OnStarted(Time now, int instance, uint64_t call) = 0;
  virtual void OnEnded(Time now, int instance, const ServerId& engine,
                       uint64_t call) = 0;
};

struct EngineWorldOptions {
  int instances = 8;
  int engines = 12;
  double long_per_s = 30;
  double short_per_s = 40;
  int prefixes = 112;
  double hot_share = 0;  // Of the long prompts that are of one subject.
  Duration length = std::chrono::seconds(40);
  Duration goal = std::chrono::milliseconds(1000);
};

// What callers got.
struct EngineWorldResult {
  double long_in_goal = 0;   // Share of the calls with long prompts.
  double short_in_goal = 0;  // Share of the others.
  double read_again = 0;     // Shared tokens that were read though some engine
                             // had read them, of all tokens read.
  Duration long_p99{};
};

class EngineWorld {
 public:
  EngineWorld(const EngineWorldOptions& options, uint64_t seed)
      : options_(options), gen_(seed) {
    for (int i = 0; i < options.engines; ++i) {
      ListedServer server;
      server.id = ServerId("engine-" + std::to_string(i));
      server.service = ServiceId("model");
      server.domain = DomainId(i % 2 == 0 ? "r-a" : "r-b");
      server.slots = 64;
      servers_.push_back(server);
    }
    engines_.resize(servers_.size());
    std::lognormal_distribution<double> size(std::log(13'300) - 0.22, 0.66);
    for (int i = 0; i < options.prefixes; ++i) {
      prefix_tokens_.push_back(
          static_cast<int64_t>(std::clamp(size(gen_), 1'000.0, 40'000.0)));
    }
  }

  std::vector<const ListedServer*> servers() const {
    std::vector<const ListedServer*> list;
    list.reserve(servers_.size());
    for (const ListedServer& server : servers_) {
      list.push_back(&server);
    }
    return list;
  }

  EngineWorldResult Play(ChoosingPolicy& policy) {
    const Time begin = now_;
    Arrive(policy, true);
    Arrive(policy, false);
    while (!events_.empty()) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      if (now_ - begin > options_.length * 2) {
        break;
      }
      event.act();
    }
    return Sum();
  }

 private:
  struct Call {
    bool is_long = false;
    int instance = 0;
    PlacementRequest request;
    Time arrived;
    size_t engine = 0;
    uint64_t known = 0;
    std::optional<Duration> first;
  };
  struct Engine {
    std::vector<std::shared_ptr<Call>> waiting;
    bool reading = false;
    absl::flat_hash_map<uint64_t, int64_t> cached;  // Hash and tokens.
  };
  struct Event {
    Time at;
    uint64_t order = 0;
    std::function<void()> act;
    bool operator<(const Event& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };

  void After(Duration delay, std::function<void()> act) {
    events_.push(
        {.at = now_ + delay, .order = ++order_, .act = std::move(act)});
  }
  Duration Exponential(double per_s) {
    return Duration(static_cast<int64_t>(
        std::exponential_distribution<double>(per_s)(gen_) * 1e6));
  }

  void Arrive(ChoosingPolicy& policy, bool is_long) {
    const double rate = is_long ? options_.long_per_s : options_.short_per_s;
    After(Exponential(rate), [this, &policy, is_long] {
      if (now_ - Time() > options_.length) {
        return;
      }
      auto call = std::make_shared<Call>();
      call->is_long = is_long;
      call->instance =
          std::uniform_int_distribution<int>(0, options_.instances - 1)(gen_);
      call->arrived = now_;
      call->request = MakeRequest(is_long);
      calls_.push_back(call);
      Send(policy, call);
      Arrive(policy, is_long);
    });
  }

  PlacementRequest MakeRequest(bool is_long) {
    PlacementRequest request{.service = ServiceId("model"),
                             .goal = options_.goal};
    if (!is_long) {
      request.prompt = {.tokens = 1'400, .urgency = 2};
      return request;
    }
    const bool hot =
        std::uniform_real_distribution<double>(0, 1)(gen_) < options_.hot_share;
    const int prefix = hot ? 0
                           : std::uniform_int_distribution<int>(
                                 0, options_.prefixes - 1)(gen_);
    std::lognormal_distribution<double> own(std::log(3'700) - 0.4, 0.9);
    const int64_t shared = prefix_tokens_.at(static_cast<size_t>(prefix));
    request.prompt = {.shared = {{.hash = 1000 + static_cast<uint64_t>(prefix),
                                  .tokens = shared}},
                      .tokens = shared + static_cast<int64_t>(std::clamp(
                                             own(gen_), 200.0, 20'000.0))};
    return request;
  }

  void Send(ChoosingPolicy& policy, const std::shared_ptr<Call>& call) {
    const ServerId id = policy.Choose(now_, call->instance, call->request);
    call->engine = static_cast<size_t>(
        std::ranges::find(servers_, id, &ListedServer::id) - servers_.begin());
    call->known = policy.OnSent(now_, call->instance, id, call->request.prompt);
    engines_.at(call->engine).waiting.push_back(call);
    Read(policy, call->engine);
  }

  void Read(ChoosingPolicy& policy, size_t number) {
    Engine& engine = engines_.at(number);
    if (engine.reading || engine.waiting.empty()) {
      return;
    }
    const auto next = std::ranges::min_element(
        engine.waiting, {},
        [](const auto& call) { return call->request.prompt.urgency; });
    const std::shared_ptr<Call> call = *next;
    engine.waiting.erase(next);
    engine.reading = true;
    const Prompt& prompt = call->request.prompt;
    int64_t cached = 0;
    for (const PromptPrefix& prefix : prompt.shared) {
      cached = engine.cached.contains(prefix.hash) ? prefix.tokens : cached;
    }
    Count(engine, prompt, cached);
    const double tokens = static_cast<double>(prompt.tokens - cached);
    const double before = static_cast<double>(prompt.tokens) - tokens / 2;
    const double ms = tokens / 61 + tokens * before / 1e6 * 0.32;
    After(Duration(static_cast<int64_t>(ms * 1000)),
          [this, &policy, number, call] {
            engines_.at(number).reading = false;
            call->first = now_ - call->arrived;
            policy.OnStarted(now_, call->instance, call->known);
            After(std::chrono::milliseconds(900), [this, &policy, call] {
              policy.OnEnded(now_, call->instance, servers_.at(call->engine).id,
                             call->known);
            });
            Read(policy, number);
          });
  }

  void Count(Engine& engine, const Prompt& prompt, int64_t cached) {
    tokens_read_ += prompt.tokens - cached;
    for (const PromptPrefix& prefix : prompt.shared) {
      if (prefix.tokens > cached && seen_.contains(prefix.hash)) {
        tokens_again_ += prefix.tokens - cached;
      }
      seen_[prefix.hash] = true;
      engine.cached[prefix.hash] = prefix.tokens;
    }
  }

  EngineWorldResult Sum() const {
    EngineWorldResult result;
    int longs = 0;
    int shorts = 0;
    std::vector<Duration> firsts;
    for (const auto& call : calls_) {
      const Duration first = call->first.value_or(options_.length);
      const double in_goal = first <= options_.goal ? 1 : 0;
      (call->is_long ? longs : shorts) += 1;
      (call->is_long ? result.long_in_goal : result.short_in_goal) += in_goal;
      if (call->is_long) {
        firsts.push_back(first);
      }
    }
    result.long_in_goal /= std::max(1, longs);
    result.short_in_goal /= std::max(1, shorts);
    result.read_again = static_cast<double>(tokens_again_) /
                        static_cast<double>(std::max<int64_t>(1, tokens_read_));
    std::ranges::sort(firsts);
    if (!firsts.empty()) {
      result.long_p99 = firsts.at(firsts.size() * 99 / 100);
    }
    return result;
  }

  EngineWorldOptions options_;
  std::mt19937_64 gen_;
  Time now_;
  uint64_t order_ = 0;
  std::priority_queue<Event> events_;
  std::vector<ListedServer> servers_;
  std::vector<Engine> engines_;
  std::vector<int64_t> prefix_tokens_;
  std::vector<std::shared_ptr<Call>> calls_;
  absl::flat_hash_map<uint64_t, bool> seen_;
  int64_t tokens_read_ = 0;
  int64_t tokens_again_ = 0;
};

}  // namespace oleander::testing

#endif  // OLEANDER_TEST_SUPPORT_ENGINE_WORLD_H_
