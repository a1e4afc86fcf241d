// A fleet of instances in virtual time that send calls to servers, which crash
// when they begin to answer on a poison part, or to run a deadly request. The
// instances exchange their evidence through three readers, as StoreFeed does.
#ifndef OLEANDER_TEST_SUPPORT_POISON_FLEET_H_
#define OLEANDER_TEST_SUPPORT_POISON_FLEET_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "oleander/poison_parts.h"
#include "support/virtual_time.h"

namespace oleander::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct PoisonFleetOptions {
  size_t instances = 8;
  size_t servers = 9;
  double sound_per_s = 110;
  // Parts in first and in second place of the prompts, and how many calls share
  // a second part.
  size_t first_parts = 6;
  size_t second_parts = 40;
  Duration poll_interval = milliseconds(400);
  Duration restart_time = milliseconds(3000);
  // Servers send the head of an answer before its first event.
  bool sends_heads = true;
  // Sound calls without a prompt, each of them one of a few requests that
  // callers send again and again.
  double reads_per_s = 0;
  size_t reads = 10;
  // How often a caller whose call was lost sends it again.
  int caller_retries = 0;
  uint64_t seed = 1;
};

class PoisonFleet {
 public:
  struct Counts {
    int asked = 0;
    int refused = 0;
    int lost = 0;
    int answered_at_first_attempt = 0;
    int sent = 0;  // Attempts that reached a server.
  };

  explicit PoisonFleet(const PoisonFleetOptions& options)
      : options_(options), draw_(options.seed) {
    for (size_t i = 0; i < options_.instances; ++i) {
      instances_.push_back({.name = InstanceId("e-" + std::to_string(i))});
    }
    servers_.resize(options_.servers);
    for (size_t i = 0; i < options_.instances; ++i) {
      Restart(i);
      time_.After(draw_.Between(Duration(0), options_.poll_interval),
                  [this, i] { Poll(i); });
    }
    time_.After(Duration(0), [this] { AskSound(); });
    if (options_.reads_per_s > 0) {
      time_.After(Duration(0), [this] { AskRead(); });
    }
  }

  VirtualTime& time() { return time_; }
  Time now() const { return time_.now(); }
  void RunFor(Duration duration) { time_.RunUntil(now() + duration); }

  // Starts an instance that knows nothing.
  void Restart(size_t index) {
    instances_[index].poison = std::make_unique<PoisonParts>();
    std::vector<InstanceId> live;
    std::ranges::transform(instances_, std::back_inserter(live),
                           &Instance::name);
    instances_[index].poison->SetInstances(std::move(live),
                                           instances_[index].name);
  }
  void CutOff(size_t index, bool cut) { instances_[index].cut = cut; }

  // Sends calls with the part, each of them otherwise different, until `until`.
  void Poison(PartHash part, double per_s, Time until) {
    poison_.insert(part);
    AskPoison(part, per_s, until);
  }
  // Sends the same request again and again, until `until`. Each server that
  // begins to run it crashes.
  void Deadly(PartHash request, const std::vector<PartHash>& parts,
              double per_s, Time until) {
    poison_.insert(request);
    AskDeadly(request, parts, per_s, until);
  }
  // The part or request crashes no server any longer.
  void Cure(PartHash part) { poison_.erase(part); }
  // Ends the servers, whatever they run.
  void CrashServers(size_t count) {
    for (size_t i = 0; i < std::min(count, servers_.size()); ++i) {
      Crash(servers_[i]);
    }
  }

  const PoisonParts& poison_of(size_t index) const {
    return *instances_[index].poison;
  }
  // Returns the number of instances that suspect the part.
  size_t Suspecting(PartHash part) const {
    return static_cast<size_t>(
        std::ranges::count_if(instances_, [part](const Instance& instance) {
          return instance.poison->IsSuspected(part);
        }));
  }
  // Returns the number of instances that refuse a call with these parts.
  size_t Refusing(const std::vector<PartHash>& parts) const {
    return static_cast<size_t>(
        std::ranges::count_if(instances_, [&](const Instance& instance) {
          return instance.poison->Find(now(), parts).has_value();
        }));
  }
  // Returns the counts since the last call.
  Counts TakeSound() { return std::exchange(sound_, {}); }
  Counts TakePoison() { return std::exchange(poisoned_, {}); }
  // When each server crashed that a poison part or a deadly request ended.
  const std::vector<Time>& poison_crashes() const { return poison_crashes_; }
  // When each server crashed that this request ended, and when it was sent to
  // servers.
  const std::vector<Time>& CrashesOf(PartHash request) {
    return crashes_of_[request];
  }
  const std::vector<Time>& SendsOf(PartHash request) {
    return sends_of_[request];
  }
  // Returns the numbers that all instances would now tell a reader.
  size_t NumbersInNews() const {
    size_t numbers = 0;
    for (const Instance& instance : instances_) {
      const CrashNews news = instance.poison->News(now());
      numbers += news.answered.size();
      for (const ServerCrash& crash : news.crashes) {
        numbers += 1 + crash.parts.size();
      }
    }
    return numbers;
  }

  PartHash FirstPart(size_t index) const { return 1000 + index; }
  PartHash SecondPart(size_t index) const { return 2000 + index; }

 private:
  struct Call {
    std::vector<PartHash> parts;  // The request as a whole comes first.
    size_t instance = 0;
    int attempts = 0;
    bool poisoned = false;
    std::vector<size_t> tried;
    int caller_retries = 0;
  };
  struct Server {
    uint64_t run = 0;
    bool up = true;
    std::vector<std::shared_ptr<Call>> pending;  // Not answered yet.
  };
  struct Instance {
    InstanceId name;
    std::unique_ptr<PoisonParts> poison = {};
    bool cut = false;
    uint64_t round = 0;
  };

  static constexpr size_t kReaders = 3;
  static constexpr int kMaxAttempts = 2;

  Duration Spacing(double per_s) {
    return draw_.Between(Duration(0),
                         Duration(static_cast<int64_t>(2e6 / per_s)));
  }

  // Parts of lower index are shared by more calls.
  size_t Popular(size_t count) {
    return std::min(draw_.Below(count), draw_.Below(count));
  }

  // Returns a request that nobody has sent before.
  PartHash NewRequest() { return HashOfRequest({std::to_string(++requests_)}); }

  void AskRead() {
    auto call = std::make_shared<Call>();
    call->parts = {
        HashOfRequest({"read", std::to_string(draw_.Below(options_.reads))})};
    Ask(std::move(call));
    time_.After(Spacing(options_.reads_per_s), [this] { AskRead(); });
  }

  void AskDeadly(PartHash request, const std::vector<PartHash>& parts,
                 double per_s, Time until) {
    if (now() >= until) {
      return;
    }
    auto call = std::make_shared<Call>();
    call->parts = {request};
    call->parts.insert(call->parts.end(), parts.begin(), parts.end());
    call->poisoned = true;
    Ask(std::move(call));
    time_.After(Spacing(per_s),
                [=, this] { AskDeadly(request, parts, per_s, until); });
  }

  void AskSound() {
    auto call = std::make_shared<Call>();
    call->parts = {NewRequest(), FirstPart(Popular(options_.first_parts)),
                   SecondPart(Popular(options_.second_parts))};
    Ask(std::move(call));
    time_.After(Spacing(options_.sound_per_s), [this] { AskSound(); });
  }

  void AskPoison(PartHash part, double per_s, Time until) {
    if (now() >= until) {
      return;
    }
    auto call = std::make_shared<Call>();
    call->parts = {NewRequest(), FirstPart(Popular(options_.first_parts)), part,
                   SecondPart(Popular(options_.second_parts))};
    call->poisoned = true;
    Ask(std::move(call));
    time_.After(Spacing(per_s), [=, this] { AskPoison(part, per_s, until); });
  }

  Counts& CountsOf(const Call& call) {
    return call.poisoned ? poisoned_ : sound_;
  }

  void Ask(std::shared_ptr<Call> call) {
    call->instance = draw_.Below(instances_.size());
    ++CountsOf(*call).asked;
    Send(std::move(call));
  }

  void Send(std::shared_ptr<Call> call) {
    PoisonParts& poison = *instances_[call->instance].poison;
    if (poison.Find(now(), call->parts)) {
      poison.OnRefused(now(), call->parts);
      ++CountsOf(*call).refused;
      return;
    }
    std::vector<size_t> up;
    for (size_t i = 0; i < servers_.size(); ++i) {
      if (servers_[i].up &&
          std::ranges::find(call->tried, i) == call->tried.end()) {
        up.push_back(i);
      }
    }
    if (up.empty()) {
      ++CountsOf(*call).lost;
      return;
    }
    const size_t chosen = up[draw_.Below(up.size())];
    call->tried.push_back(chosen);
    ++call->attempts;
    ++CountsOf(*call).sent;
    if (call->poisoned) {
      sends_of_[call->parts.front()].push_back(now());
    }
    poison.OnSent(now(), call->parts);
    Server& server = servers_[chosen];
    server.pending.push_back(call);
    time_.After(draw_.Between(milliseconds(40), milliseconds(250)),
                [this, &server, call, run = server.run] {
                  if (server.up && server.run == run) {
                    Begin(server, call);
                  }
                });
  }

  void Begin(Server& server, const std::shared_ptr<Call>& call) {
    const bool crashes = std::ranges::any_of(
        call->parts, [this](PartHash part) { return poison_.contains(part); });
    if (crashes) {
      poison_crashes_.push_back(now());
      crashes_of_[call->parts.front()].push_back(now());
      // A server may end before it has sent the head to a deadly request.
      const bool begun =
          !poison_.contains(call->parts.front()) || draw_.Chance(0.5);
      Crash(server, begun ? call : nullptr);
      return;
    }
    std::erase(server.pending, call);
    CountsOf(*call).answered_at_first_attempt += call->attempts == 1 ? 1 : 0;
    instances_[call->instance].poison->OnAnswer(now(), call->parts);
  }

  // Ends the server, when it has begun the answer to `begun`, if any.
  void Crash(Server& server, const std::shared_ptr<Call>& begun = {}) {
    if (!server.up) {
      return;
    }
    server.up = false;
    const uint64_t run = 100 * (1 + (&server - servers_.data())) + server.run;
    for (const auto& call : std::exchange(server.pending, {})) {
      time_.After(draw_.Between(milliseconds(1), milliseconds(25)),
                  [this, call, run, is_begun = call == begun] {
                    OnLost(call, run, options_.sends_heads && is_begun);
                  });
    }
    time_.After(draw_.Between(options_.restart_time / 2, options_.restart_time),
                [&server] {
                  server.up = true;
                  ++server.run;
                });
  }

  void OnLost(const std::shared_ptr<Call>& call, uint64_t run, bool begun) {
    PoisonParts& poison = *instances_[call->instance].poison;
    if (poison.OnCrash(now(),
                       {.run = run, .begun = begun, .parts = call->parts})) {
      PushNews(call->instance);
    }
    if (call->attempts < kMaxAttempts && poison.MayRetry(now(), call->parts)) {
      Send(call);
      return;
    }
    ++CountsOf(*call).lost;
    if (call->caller_retries < options_.caller_retries) {
      auto again = std::make_shared<Call>();
      again->parts = call->parts;
      again->poisoned = call->poisoned;
      again->caller_retries = call->caller_retries + 1;
      time_.After(milliseconds(100), [this, again] { Ask(again); });
    }
  }

  void Deliver(size_t from, size_t to, const std::function<void()>& then = {}) {
    if (instances_[from].cut || instances_[to].cut) {
      return;
    }
    time_.After(draw_.Between(milliseconds(1), milliseconds(25)),
                [this, to, then, at = now(),
                 news = instances_[from].poison->News(now())]() mutable {
                  for (ServerCrash& crash : news.crashes) {
                    crash.age += now() - at;
                  }
                  instances_[to].poison->OnPeerNews(now(), news);
                  if (then) {
                    then();
                  }
                });
  }

  void PushNews(size_t from) {
    for (size_t reader = 0; reader < std::min(kReaders, instances_.size());
         ++reader) {
      if (reader != from) {
        Deliver(from, reader);
      }
    }
  }

  void Poll(size_t index) {
    const size_t reader = ++instances_[index].round % kReaders;
    if (index >= kReaders) {
      Deliver(index, reader, [this, index, reader] { Deliver(reader, index); });
    }
    time_.After(options_.poll_interval, [this, index] { Poll(index); });
  }

  PoisonFleetOptions options_;
  Draw draw_;
  VirtualTime time_;
  std::vector<Instance> instances_;
  std::vector<Server> servers_;
  std::set<PartHash> poison_;
  std::vector<Time> poison_crashes_;
  std::map<PartHash, std::vector<Time>> crashes_of_;
  std::map<PartHash, std::vector<Time>> sends_of_;
  uint64_t requests_ = 0;
  Counts sound_;
  Counts poisoned_;
};

}  // namespace oleander::test

#endif  // OLEANDER_TEST_SUPPORT_POISON_FLEET_H_
