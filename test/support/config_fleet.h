// A fleet of instances in virtual time that get configurations of a key-value
// service behind narrow links, and spread them as ConfigFeed does.
#ifndef OLEANDER_TEST_SUPPORT_CONFIG_FLEET_H_
#define OLEANDER_TEST_SUPPORT_CONFIG_FLEET_H_

#include <algorithm>
#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "oleander/config_follower.h"
#include "oleander/config_tree.h"
#include "support/virtual_time.h"

namespace oleander::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct ConfigFleetOptions {
  size_t instances = 90;
  size_t domains_per_region = 3;
  double region_mbps = 60;  // Of the link between the two regions.
  // Without it every instance that hears of a newer version reads it from the
  // service.
  bool spreads = true;
  uint64_t seed = 1;
};

// What the service does with the calls that reach it.
enum class ServiceFault {
  kNone,
  kSilent,   // It answers none: held calls and lost replies.
  kRefusing  // It fails each at once: a busy service and reset connections.
};

// Transfers bytes one after the other.
class Link {
 public:
  explicit Link(double mbps = 1000) : mbps_(mbps) {}

  // Returns when the bytes have passed.
  Time Pass(Time now, size_t bytes) {
    const double micros = static_cast<double>(bytes) * 8 / mbps_;
    free_at_ = std::max(now, free_at_) + Duration(static_cast<int64_t>(micros));
    bytes_ += bytes;
    return free_at_;
  }
  size_t bytes() const { return bytes_; }

 private:
  double mbps_;
  Time free_at_;
  size_t bytes_ = 0;
};

class ConfigFleet {
 public:
  explicit ConfigFleet(const ConfigFleetOptions& options)
      : options_(options),
        draw_(options.seed),
        between_regions_(options.region_mbps) {
    const size_t domains = options_.domains_per_region * 2;
    // Small fleets have equal instances.
    constexpr size_t kSmallFleet = 8;
    const bool small = options_.instances <= kSmallFleet;
    const std::vector<double> cores =
        small ? std::vector{0.25} : std::vector{0.12, 0.25, 0.5};
    const std::vector<double> mbps =
        small ? std::vector{1000.0} : std::vector{10.0, 50.0, 200.0};
    for (size_t i = 0; i < options_.instances; ++i) {
      const size_t domain = i % domains;
      const size_t size = i / domains % cores.size();
      instances_.push_back(
          {.candidate = {.instance = InstanceId("e-" + std::to_string(i)),
                         .domain = DomainId("d-" + std::to_string(domain)),
                         .region = RegionId(domain % 2 == 0 ? "near" : "far"),
                         .cores = cores[size]},
           .link = Link(mbps[size])});
      index_[instances_.back().candidate.instance] = i;
    }
    ChooseReadersAgain();
    for (size_t i = 0; i < options_.instances; ++i) {
      Restart(i);
    }
  }

  VirtualTime& time() { return time_; }
  Time now() const { return time_.now(); }
  void RunFor(Duration duration) { time_.RunUntil(now() + duration); }
  size_t size() const { return instances_.size(); }
  const std::vector<InstanceId>& readers() const { return readers_; }
  size_t IndexOf(const InstanceId& id) const { return index_.at(id); }

  // Operators write a version with so many routes more.
  void Write(size_t added_routes) {
    routes_ += added_routes;
    added_[++version_] = added_routes;
    written_at_[version_] = now();
  }
  int64_t version() const { return version_; }

  // Ends the process and starts it again at once, without a configuration.
  void Restart(size_t i) {
    Instance& instance = instances_[i];
    ++instance.run;
    instance.alive = true;
    instance.in_force = 0;
    instance.calling = false;
    instance.follower = ConfigFollower();
    instance.follower.Start(now());
    const int run = instance.run;
    After(i, Duration(0), [this, i] { ReadIfShort(i); });
    // The records that name the readers take a moment.
    After(i, draw_.Between(milliseconds(20), milliseconds(200)),
          [this, i] { SetFleet(i); });
    After(i, draw_.Between(Duration(0), kReaderPeriod),
          [this, i, run] { Poll(i, run); });
    After(i, draw_.Between(Duration(0), kFollowPeriod),
          [this, i] { Follow(i); });
  }
  void End(size_t i) {
    ++instances_[i].run;
    instances_[i].alive = false;
  }
  void SetServiceFault(ServiceFault fault) { service_fault_ = fault; }
  // No instance reaches another one.
  void SetPeersCut(bool cut) { peers_cut_ = cut; }

  // Returns whether every live instance has the newest version in force.
  bool is_everywhere() const {
    return std::ranges::all_of(instances_, [this](const Instance& instance) {
      return !instance.alive || instance.in_force == version_;
    });
  }
  // Runs until the newest version is in force everywhere, and returns how long
  // that took after `since`; `limit` if it takes as long.
  Duration TimeToEverywhere(Time since, Duration limit) {
    while (!is_everywhere() && now() - since < limit) {
      RunFor(milliseconds(10));
    }
    return std::min(now() - since, limit);
  }
  Time written_at(int64_t version) const { return written_at_.at(version); }

  // Calls that reached the service, and copies of the configuration that it
  // sent, as a whole.
  int service_calls() const { return service_calls_; }
  int service_copies() const { return service_copies_; }
  size_t region_bytes() const { return between_regions_.bytes(); }
  size_t link_bytes(size_t i) const { return instances_[i].link.bytes(); }
  // Time that an instance spent on configurations, on its share of a core.
  Duration busy(size_t i) const { return instances_[i].busy; }

 private:
  static constexpr Duration kReaderPeriod = milliseconds(700);
  static constexpr Duration kPollPeriod = milliseconds(400);
  static constexpr Duration kFollowPeriod = milliseconds(50);
  static constexpr Duration kServiceDelay = milliseconds(4);
  static constexpr Duration kCallTimeout = milliseconds(1000);
  static constexpr Duration kNear = milliseconds(1);
  static constexpr Duration kFar = milliseconds(20);
  // Measured: a document has 200 bytes a route, a third more in base64, and
  // takes 9.3 us of a core a route to parse; a change has 15 bytes a route.
  static constexpr size_t kDocumentBytes = 267;
  static constexpr double kParseMicros = 9.3;
  static constexpr size_t kChangeBytes = 15;
  static constexpr double kApplyMicros = 1.5;
  static constexpr size_t kPartBytes = size_t{64} << 10;
  static constexpr size_t kShortDocumentBytes = size_t{32} << 10;
  static constexpr size_t kFirstWindowBytes = 14600;
  static constexpr size_t kMessageBytes = 40;

  struct Instance {
    ReaderCandidate candidate;
    Link link;
    bool alive = true;
    int run = 0;
    int64_t in_force = 0;
    bool calling = false;
    int round = 0;  // Of the last query to a peer.
    Time busy_until = {};
    Duration busy = {};
    ConfigFollower follower = ConfigFollower();
  };

  static bool IsFar(const Instance& instance) {
    return instance.candidate.region == RegionId("far");
  }

  // Runs the event unless the instance has ended by then, and not while it is
  // busy.
  void After(size_t i, Duration delay, std::function<void()> event) {
    time_.After(delay,
                [this, i, run = instances_[i].run, event = std::move(event)] {
                  if (instances_[i].run != run || !instances_[i].alive) {
                    return;
                  }
                  if (instances_[i].busy_until > now()) {
                    After(i, instances_[i].busy_until - now(), event);
                    return;
                  }
                  event();
                });
  }

  void ChooseReadersAgain() {
    std::vector<ReaderCandidate> candidates;
    std::ranges::transform(instances_, std::back_inserter(candidates),
                           &Instance::candidate);
    readers_ = ChooseReaders(candidates, 3);
    tree_ = ConfigTree(std::move(candidates), readers_);
  }
  bool IsReader(size_t i) const {
    return std::ranges::find(readers_, instances_[i].candidate.instance) !=
           readers_.end();
  }
  void SetFleet(size_t i) {
    const InstanceId& self = instances_[i].candidate.instance;
    std::vector<InstanceId> others;
    std::ranges::remove_copy(readers_, std::back_inserter(others), self);
    instances_[i].follower.SetFleet({.is_reader = IsReader(i),
                                     .parent = tree_.ParentOf(self),
                                     .readers = std::move(others)});
    if (IsReader(i)) {
      ReadService(i);
    }
  }

  void Poll(size_t i, int round) {
    if (IsReader(i)) {
      ReadService(i);
    } else {
      const size_t reader = IndexOf(readers_[round % readers_.size()]);
      Reach(i, reader, 0, [this, i, reader] {
        const int64_t version = instances_[reader].in_force;
        Reach(reader, i, 100, [this, i, reader, version] {
          Hear(i, version, instances_[reader].candidate.instance);
        });
      });
    }
    After(i, IsReader(i) ? kReaderPeriod : kPollPeriod,
          [this, i, round] { Poll(i, round + 1); });
  }

  // Delivers `bytes` from one instance to another one.
  void Reach(size_t from, size_t to, size_t bytes,
             std::function<void()> event) {
    if (peers_cut_ || !instances_[to].alive) {
      return;
    }
    const bool far = IsFar(instances_[from]) != IsFar(instances_[to]);
    Time at = instances_[from].link.Pass(now(), bytes);
    at = far ? between_regions_.Pass(at, bytes) : at;
    at = instances_[to].link.Pass(at, bytes);
    After(to, at - now() + (far ? kFar : kNear), std::move(event));
  }

  void ReadService(size_t i) {
    Instance& instance = instances_[i];
    if (instance.calling) {
      return;
    }
    instance.calling = true;
    ++service_calls_;
    const Duration way = IsFar(instance) ? kFar : kNear;
    if (service_fault_ != ServiceFault::kNone) {
      const bool silent = service_fault_ == ServiceFault::kSilent;
      After(i, silent ? kCallTimeout : way * 2,
            [this, i] { instances_[i].calling = false; });
      return;
    }
    After(i, way * 2 + kServiceDelay, [this, i] {
      Instance& reader = instances_[i];
      if (version_ == reader.in_force) {
        reader.calling = false;
        return;
      }
      ++service_copies_;
      const size_t bytes = routes_ * kDocumentBytes;
      Time at = now();
      at = IsFar(reader) ? between_regions_.Pass(at, bytes) : at;
      at = reader.link.Pass(at, bytes);
      After(i, at - now(),
            [this, i, version = version_,
             micros = MicrosOf(routes_, kParseMicros)] {
              instances_[i].calling = false;
              Apply(i, version, micros);
            });
    });
  }

  // The head of a long document tells its length; by then the service has sent
  // its first window of TCP.
  void ReadIfShort(size_t i) {
    ++service_calls_;
    if (service_fault_ != ServiceFault::kNone || version_ == 0) {
      return;
    }
    const Duration way = IsFar(instances_[i]) ? kFar : kNear;
    After(i, way * 2 + kServiceDelay, [this, i] {
      Instance& instance = instances_[i];
      const size_t bytes = routes_ * kDocumentBytes;
      const bool is_short = bytes <= kShortDocumentBytes;
      const size_t received = is_short ? bytes : kFirstWindowBytes;
      Time at = now();
      at = IsFar(instance) ? between_regions_.Pass(at, received) : at;
      at = instance.link.Pass(at, received);
      if (is_short) {
        After(i, at - now(),
              [this, i, version = version_,
               micros = MicrosOf(routes_, kParseMicros)] {
                Apply(i, version, micros);
              });
      }
    });
  }

  static double MicrosOf(size_t routes, double each) {
    return static_cast<double>(routes) * each;
  }

  void Apply(size_t i, int64_t version, double micros) {
    Instance& instance = instances_[i];
    if (version <= instance.in_force) {
      return;
    }
    const Duration takes(
        static_cast<int64_t>(micros / instance.candidate.cores));
    instance.busy_until = now() + takes;
    instance.busy += takes;
    After(i, instance.busy_until - now(), [this, i, version] {
      Instance& applied = instances_[i];
      applied.in_force = std::max(version, applied.in_force);
      applied.follower.OnApplied(now(), applied.in_force);
      if (options_.spreads) {
        Announce(i);
      }
    });
  }

  void Announce(size_t i) {
    const InstanceId& self = instances_[i].candidate.instance;
    for (const InstanceId& child : tree_.ChildrenOf(self)) {
      Reach(i, IndexOf(child), kMessageBytes,
            [this, i, to = IndexOf(child), version = instances_[i].in_force] {
              instances_[to].follower.OnAnnounced(
                  now(), version, instances_[i].candidate.instance);
            });
    }
  }

  void Hear(size_t i, int64_t version, const InstanceId& from) {
    if (!options_.spreads && version > instances_[i].in_force) {
      ReadService(i);
      return;
    }
    instances_[i].follower.OnHeard(now(), version, from);
  }

  void Follow(size_t i) {
    Instance& instance = instances_[i];
    const auto source = instance.follower.SourceDue(now());
    if (source) {
      instance.follower.OnAsked(now(), *source);
    }
    if (source && source->peer.empty()) {
      ReadService(i);
    } else if (source) {
      Ask(i, IndexOf(source->peer), ++instance.round, 0, 0);
    }
    After(i, kFollowPeriod, [this, i] { Follow(i); });
  }

  // Asks for the part of version `target`, 0 for the newest, from `offset`.
  void Ask(size_t i, size_t peer, int round, int64_t target, size_t offset) {
    Reach(
        i, peer, kMessageBytes,
        [this, i, peer, round, target, offset, known = instances_[i].in_force] {
          const int64_t version =
              target != 0 ? target : instances_[peer].in_force;
          const size_t routes = RoutesBetween(known, version);
          const size_t size = routes * kChangeBytes;
          const size_t part = std::min(size - offset, kPartBytes);
          Reach(peer, i, kMessageBytes + part,
                [this, i, peer, round, version, routes, size,
                 received = offset + part] {
                  if (instances_[i].round != round) {
                    return;
                  }
                  if (size == 0) {
                    instances_[i].follower.OnNothingNewer(
                        now(), instances_[peer].candidate.instance);
                  } else if (received == size) {
                    Apply(i, version, MicrosOf(routes, kApplyMicros));
                  } else {
                    instances_[i].follower.OnProgress(now());
                    Ask(i, peer, round, version, received);
                  }
                });
        });
  }

  // Routes that an instance with version `known` needs.
  size_t RoutesBetween(int64_t known, int64_t version) const {
    size_t routes = 0;
    for (const auto& [each, added] : added_) {
      routes += each > known && each <= version ? added : 0;
    }
    return routes;
  }

  ConfigFleetOptions options_;
  VirtualTime time_;
  Draw draw_;
  std::vector<Instance> instances_;
  std::map<InstanceId, size_t> index_;
  std::vector<InstanceId> readers_;
  ConfigTree tree_;
  Link between_regions_;
  int64_t version_ = 0;
  size_t routes_ = 0;
  std::map<int64_t, size_t> added_;
  std::map<int64_t, Time> written_at_;
  ServiceFault service_fault_ = ServiceFault::kNone;
  bool peers_cut_ = false;
  int service_calls_ = 0;
  int service_copies_ = 0;
};

}  // namespace oleander::test

#endif  // OLEANDER_TEST_SUPPORT_CONFIG_FLEET_H_
