// Fleets in virtual time, with releases, kills and outages of the store: no
// stream goes on at another version than the one that began it, and most go on.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "oleander/stream_origins.h"
#include "oleander/version_history.h"
#include "support/fake_store.h"
#include "support/virtual_time.h"

namespace oleander {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceId kService("pool");
constexpr int kServers = 12;
constexpr Duration kCallerTime = seconds(10);
constexpr int kTries = 4;
// From here on a restarted instance counts as in touch.
constexpr Duration kContact = seconds(4);

enum class Kills { kNone, kOneByOne, kAll };

struct Scenario {
  int instances = 8;
  double streams_per_s = 200;
  Kills kills = Kills::kAll;
  bool store_outages = false;
  // Instances whose list stays as it is for some seconds, by turns.
  bool old_lists = false;
  uint64_t seed = 1;
};

struct Result {
  int begun = 0;
  int joined = 0;  // Streams of two versions.
  // Streams taken up at instances in touch while two servers have their
  // version, and those of them that went on.
  std::set<int> asked = {};
  std::set<int> taken_up = {};
  double most_calls = 0;  // To the store, in a second.
};

class Fleet {
 public:
  explicit Fleet(const Scenario& scenario)
      : scenario_(scenario), draw_(scenario.seed) {
    for (int i = 0; i < kServers; ++i) {
      ListedServer server;
      server.id = ServerId("i-" + std::to_string(i));
      server.service = kService;
      server.version = "v1";
      servers_.push_back(server);
    }
    instances_.resize(static_cast<size_t>(scenario.instances));
  }

  Result Play() {
    for (Instance& instance : instances_) {
      Start(instance);
    }
    Begin();
    for (const seconds at : {seconds(8), seconds(20)}) {
      time_.At(Time(at), [this] { Release(0); });
    }
    if (scenario_.kills != Kills::kNone) {
      time_.At(Time(draw_.Between(seconds(8), seconds(11))),
               [this] { Kill(); });
    }
    if (scenario_.store_outages) {
      time_.At(Time(draw_.Between(seconds(6), seconds(12))), [this] {
        store_down_ = true;
        time_.After(seconds(4), [this] { store_down_ = false; });
      });
    }
    if (scenario_.old_lists) {
      time_.At(Time(seconds(7)), [this] { HoldList(); });
    }
    time_.RunUntil(Time(seconds(80)));
    for (const auto& [second, calls] : calls_) {
      // The first second of all instances has the reads of their starts.
      if (second > 1) {
        result_.most_calls = std::max(result_.most_calls, calls);
      }
    }
    return result_;
  }

 private:
  struct Run {
    Run(uint64_t seed, size_t instances) : history({}, seed) {
      origins.SetInstances(instances);
    }
    VersionHistory history;
    StreamOrigins origins;
    std::vector<ListedServer> listed;
    Time started;
    Time list_held_until;
    std::optional<Time> wakes;
    bool was_mixed = true;
    std::map<int, std::string> open;  // Streams and their versions.
  };
  struct Instance {
    std::shared_ptr<Run> run;  // Null while the process is down.
  };
  struct Stream {
    std::string version;  // Of its first event.
    Time until;           // The caller's deadline.
    int tries = 0;
  };

  Duration StoreDelay() {
    return draw_.Between(milliseconds(4), milliseconds(30));
  }
  WallTime WallNow() const {
    return WallTime(seconds(1'790'000'000)) +
           std::chrono::duration_cast<WallTime::duration>(
               time_.now().time_since_epoch());
  }

  void Start(Instance& instance) {
    instance.run = std::make_shared<Run>(
        draw_.Seed(), static_cast<size_t>(scenario_.instances));
    instance.run->started = time_.now();
    TakeList(instance.run);
  }

  // Each instance learns the list a little later than the store.
  void TakeList(const std::weak_ptr<Run>& weak) {
    time_.After(draw_.Between(milliseconds(1), milliseconds(200)),
                [this, weak] {
                  const auto run = weak.lock();
                  if (run == nullptr) {
                    return;
                  }
                  const bool held = time_.now() < run->list_held_until;
                  if (!held && run->listed != servers_) {
                    run->listed = servers_;
                    std::vector<const ListedServer*> list;
                    for (const ListedServer& server : run->listed) {
                      list.push_back(&server);
                    }
                    run->history.OnServers(time_.now(), list);
                    RecordOpen(*run);
                    Drive(run);
                  }
                  TakeList(run);
                });
  }

  void HoldList() {
    if (const auto run = AnyRun()) {
      run->list_held_until =
          time_.now() + draw_.Between(seconds(1), seconds(6));
    }
    time_.After(milliseconds(500), [this] { HoldList(); });
  }

  void RecordOpen(Run& run) {
    const bool mixed = !run.history.OnlyVersion(time_.now(), kService);
    if (mixed && !run.was_mixed) {
      for (const auto& [id, version] : run.open) {
        run.origins.OnBegun(time_.now(), std::to_string(id),
                            {.service = kService, .version = version});
      }
    }
    run.was_mixed = mixed;
  }

  void Drive(const std::shared_ptr<Run>& run) {
    run->history.Tick(time_.now());
    for (const StoreRequest& request : run->history.TakeActions()) {
      Send(run, request, true);
    }
    run->origins.Tick(time_.now());
    for (const StoreRequest& request : run->origins.TakeActions()) {
      Send(run, request, false);
    }
    const Time due = std::min(run->history.next_due(), run->origins.next_due());
    if (due == Time::max() || (run->wakes && *run->wakes <= due)) {
      return;
    }
    run->wakes = due;
    time_.At(due, [this, weak = std::weak_ptr(run)] {
      if (const auto woken = weak.lock()) {
        woken->wakes.reset();
        Drive(woken);
      }
    });
  }

  // A call takes effect half way, also if its sender is killed meanwhile.
  void Send(const std::weak_ptr<Run>& weak, const StoreRequest& request,
            bool from_history) {
    ++calls_[std::chrono::floor<seconds>(time_.now().time_since_epoch())
                 .count()];
    const Duration delay = StoreDelay();
    time_.After(delay / 2, [this, weak, request, from_history, delay] {
      const auto reply = [this, weak, delay](const auto& apply) {
        time_.After(delay / 2, [this, weak, apply] {
          if (const auto run = weak.lock()) {
            apply(*run);
            Drive(run);
          }
        });
      };
      if (const auto* read = std::get_if<StoreRange>(&request)) {
        const auto answer =
            Answered<StoreRangeAnswer>([&] { return store_.Range(*read); });
        reply([this, answer](Run& run) {
          run.history.OnRange(time_.now(), WallNow(), answer);
        });
      } else if (const auto* write = std::get_if<StoreCas>(&request)) {
        const auto answer =
            Answered<StoreCasAnswer>([&] { return store_.Cas(*write); });
        reply([this, answer, from_history, call = write->call](Run& run) {
          if (from_history) {
            run.history.OnCas(time_.now(), answer);
          } else {
            run.origins.OnCas(time_.now(), call, answer);
          }
        });
      } else if (std::holds_alternative<StoreLeaseGrant>(request)) {
        const auto answer = Answered<StoreLeaseAnswer>([&] {
          return StoreLeaseAnswer{.lease = store_.Grant(), .ttl = seconds(90)};
        });
        reply([this, answer](Run& run) {
          run.origins.OnLease(time_.now(), answer);
        });
      }
    });
  }

  // The answer of a call that has no effect while the store is down.
  template <typename Answer, typename Apply>
  absl::StatusOr<Answer> Answered(const Apply& apply) {
    if (store_down_) {
      return MakeError(ResultCode::kStoreUnavailable, "The store is down.");
    }
    return apply();
  }

  // Replaces one server after the other by one of the next version.
  void Release(int server) {
    if (server == kServers) {
      return;
    }
    ListedServer& next = servers_[static_cast<size_t>(server)];
    next.version = time_.now() < Time(seconds(15)) ? "v2" : "v3";
    next.id = ServerId(next.version + "-" + std::to_string(server));
    time_.After(milliseconds(400), [this, server] { Release(server + 1); });
  }

  void Kill() {
    if (scenario_.kills == Kills::kAll) {
      std::ranges::for_each(instances_,
                            [this](Instance& each) { KillOne(each); });
    } else {
      KillOne(instances_[draw_.Below(instances_.size())]);
    }
    const Duration pause = scenario_.kills == Kills::kAll
                               ? Duration(seconds(11))
                               : Duration(milliseconds(700));
    if (time_.now() < Time(seconds(45))) {
      time_.After(pause, [this] { Kill(); });
    }
  }

  void KillOne(Instance& instance) {
    if (instance.run == nullptr) {
      return;
    }
    const auto ended = std::move(instance.run);
    instance.run = nullptr;
    for (const auto& [id, version] : ended->open) {
      TakeUpLater(id);
    }
    time_.After(draw_.Between(milliseconds(500), milliseconds(2500)),
                [this, &instance] { Start(instance); });
  }

  std::shared_ptr<Run> AnyRun() {
    std::vector<std::shared_ptr<Run>> up;
    for (const Instance& instance : instances_) {
      if (instance.run != nullptr && !instance.run->listed.empty()) {
        up.push_back(instance.run);
      }
    }
    return up.empty() ? nullptr : up[draw_.Below(up.size())];
  }

  void Begin() {
    time_.After(Duration(static_cast<int64_t>(1e6 / scenario_.streams_per_s)),
                [this] { Begin(); });
    const auto run = AnyRun();
    if (run == nullptr || time_.now() > Time(seconds(60))) {
      return;
    }
    const int id = result_.begun++;
    const std::string version = VersionToBegin(*run);
    streams_[id] = {.version = version, .until = time_.now() + kCallerTime};
    run->open[id] = version;
    if (!run->history.OnlyVersion(time_.now(), kService)) {
      run->origins.OnBegun(time_.now(), std::to_string(id),
                           {.service = kService, .version = version});
      Drive(run);
    }
    EndLater(run, id);
  }

  // As OriginKeeper::VersionsNotToBegin() has it.
  std::string VersionToBegin(const Run& run) {
    std::vector<std::string> stored;
    for (const ListedServer& server : run.listed) {
      if (run.history.IsStored(kService, server.version)) {
        stored.push_back(server.version);
      }
    }
    return stored.empty() ? run.listed[draw_.Below(kServers)].version
                          : stored[draw_.Below(stored.size())];
  }

  void EndLater(const std::weak_ptr<Run>& weak, int id) {
    time_.After(draw_.Between(milliseconds(300), seconds(8)), [weak, id] {
      if (const auto run = weak.lock()) {
        run->open.erase(id);
      }
    });
  }

  void TakeUpLater(int id) {
    Stream& stream = streams_[id];
    if (++stream.tries >= kTries) {
      return;
    }
    time_.After(draw_.Between(milliseconds(10), seconds(2)), [this, id] {
      if (time_.now() < streams_[id].until) {
        TakeUp(id);
      }
    });
  }

  void TakeUp(int id) {
    const auto run = AnyRun();
    if (run == nullptr) {
      TakeUpLater(id);
      return;
    }
    const std::string attempt = std::to_string(id);
    if (const StreamOrigin* origin = run->origins.Find(attempt)) {
      GoOn(run, id, origin->version);
    } else if (run->history.OnlyVersion(time_.now(), kService)) {
      Confirm(run, id);
    } else {
      ReadOrigin(run, id);
    }
  }

  // As OriginKeeper::Confirm().
  void Confirm(const std::weak_ptr<Run>& weak, int id) {
    const Duration delay = StoreDelay();
    time_.After(delay / 2, [this, weak, id, delay] {
      const bool down = store_down_;
      StoreRange read;
      read.key = VersionHistoryOptions().key;
      time_.After(
          delay / 2, [this, weak, id, down, answer = store_.Range(read)] {
            const auto run = weak.lock();
            if (run == nullptr || down) {
              TakeUpLater(id);
              return;
            }
            run->history.OnConfirmed(time_.now(), WallNow(), answer);
            RecordOpen(*run);
            const auto only = run->history.OnlyVersion(time_.now(), kService);
            if (only) {
              GoOn(run, id, *only);
            } else {
              ReadOrigin(run, id);
            }
          });
    });
  }

  void ReadOrigin(const std::weak_ptr<Run>& weak, int id) {
    time_.After(StoreDelay(), [this, weak, id] {
      const auto run = weak.lock();
      if (run == nullptr) {
        TakeUpLater(id);
        return;
      }
      StoreRange read;
      read.key = StreamOrigins::KeyOf(std::to_string(id));
      const auto entries =
          store_down_ ? std::vector<StoreEntry>() : store_.Range(read).entries;
      const auto origin = entries.empty()
                              ? std::nullopt
                              : StreamOrigins::Parse(entries.front().value);
      if (origin) {
        GoOn(run, id, origin->version);
      } else {
        Judge(*run, id, /*taken_up=*/false);
        TakeUpLater(id);
      }
    });
  }

  void GoOn(const std::shared_ptr<Run>& run, int id,
            const std::string& version) {
    if (!run->history.IsListed(kService, version)) {
      Judge(*run, id, /*taken_up=*/false);
      return;
    }
    result_.joined += version == streams_[id].version ? 0 : 1;
    Judge(*run, id, /*taken_up=*/true);
    run->open[id] = version;
    EndLater(run, id);
  }

  void Judge(const Run& run, int id, bool taken_up) {
    const auto servers = std::ranges::count(servers_, streams_[id].version,
                                            &ListedServer::version);
    if (servers >= 2 && time_.now() - run.started >= kContact) {
      result_.asked.insert(id);
      if (taken_up) {
        result_.taken_up.insert(id);
      }
    }
  }

  Scenario scenario_;
  test::Draw draw_;
  test::VirtualTime time_;
  testing::FakeStore store_;
  bool store_down_ = false;
  std::vector<ListedServer> servers_;
  std::vector<Instance> instances_;
  std::map<int, Stream> streams_;
  std::map<int64_t, double> calls_;
  Result result_;
};

Result Check(const Scenario& scenario) {
  const Result result = Fleet(scenario).Play();
  BOOST_TEST_CONTEXT(scenario.instances << " instances, seed "
                                        << scenario.seed) {
    BOOST_TEST(result.begun > 1000);
    BOOST_TEST(result.joined == 0);
    if (result.asked.size() >= 12 && !scenario.store_outages) {
      BOOST_TEST(2 * result.taken_up.size() >= result.asked.size());
    }
  }
  return result;
}

BOOST_AUTO_TEST_SUITE(stream_versions_fleet)

BOOST_AUTO_TEST_CASE(joins_no_versions_at_instances_with_old_lists) {
  for (const int instances : {8, 90, 360}) {
    for (uint64_t seed = 1; seed <= 6; ++seed) {
      Check({.instances = instances,
             .kills = Kills::kOneByOne,
             .old_lists = true,
             .seed = seed});
    }
  }
}

BOOST_AUTO_TEST_CASE(joins_no_versions_when_all_are_killed_at_any_phase) {
  for (const int instances : {8, 90, 360}) {
    for (uint64_t seed = 1; seed <= 6; ++seed) {
      Check({.instances = instances, .kills = Kills::kAll, .seed = seed});
    }
  }
}

BOOST_AUTO_TEST_CASE(takes_up_most_streams_of_single_killed_instances) {
  for (const int instances : {8, 90, 360}) {
    size_t asked = 0;
    size_t taken_up = 0;
    for (uint64_t seed = 1; seed <= 4; ++seed) {
      const Result result = Check(
          {.instances = instances, .kills = Kills::kOneByOne, .seed = seed});
      asked += result.asked.size();
      taken_up += result.taken_up.size();
    }
    BOOST_TEST_CONTEXT(instances << " instances") {
      BOOST_TEST(asked > 12U);
      BOOST_TEST(2 * taken_up >= asked);
    }
  }
}

BOOST_AUTO_TEST_CASE(joins_no_versions_beside_an_outage_of_the_store) {
  for (const int instances : {8, 360}) {
    for (uint64_t seed = 1; seed <= 6; ++seed) {
      Check({.instances = instances,
             .kills = Kills::kAll,
             .store_outages = true,
             .seed = seed});
    }
  }
}

BOOST_AUTO_TEST_CASE(leaves_most_of_the_stores_writes_to_others) {
  // What the operators' sheets allow deployments of these sizes.
  const std::map<int, double> writes_per_s = {
      {8, 400}, {90, 1200}, {360, 3200}};
  for (const auto& [instances, allowed] : writes_per_s) {
    const Result result = Check(
        {.instances = instances, .streams_per_s = 400, .kills = Kills::kNone});
    BOOST_TEST_CONTEXT(instances << " instances") {
      BOOST_TEST(3 * result.most_calls <= allowed);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander
