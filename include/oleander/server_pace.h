// Learns how fast each backend server works, compared with the other servers of
// its service, and up to how many calls at once it works well.
//
// A sample is the time of one answer relative to the usual time of calls of its
// kind, together with the number of calls that the server had. Samples are
// averaged as logarithms, by the share of the server's slots in use, and fade
// within seconds, at once if recent ones show a change. A difference counts
// only by the amount that chance doesn't explain, so servers that are alike
// keep a slowness of exactly 1. The limit of a server lies below the share of
// its slots at which the time of a call grows faster than the number of calls:
// from there on more calls at once complete no more calls a second. When the
// evidence for a limit fades, calls beyond it are tried again. A limit only
// orders servers; it forbids nothing.
//
// A server may also tell how long work takes on its machine at the moment. What
// it tells is used only while it explains the times of its answers, and for as
// long as it is likely to hold.
//
// Where each instance sees few answers of a server, instances report samples to
// an instance that collects them, and receive its conclusions (PaceVerdict).
//
//   ServerPace pace;
//   pace.SetServers(listed);
//   pace.OnAnswer(now, server, {.kind = route, .calls = 3, .time = ms});
//   const double slowness = pace.SlownessAt(now, server, calls + 1);
//   // The next call takes about slowness * pace.UsualTime(service, route) ms.
//
// Designed for hundreds of servers whose speeds differ up to fourfold and
// change within seconds, and for instances of which each sends a small share of
// the calls.
#ifndef OLEANDER_SERVER_PACE_H_
#define OLEANDER_SERVER_PACE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "oleander/listed_servers.h"
#include "oleander/types.h"

namespace oleander {

struct ServerPaceOptions {
  // The weight of a sample halves in this time.
  Duration half_life = std::chrono::seconds(4);
  // Multiple of the standard error that chance is taken to explain; a larger
  // one for the difference of recent samples to earlier ones, which is tested
  // often.
  double chance_errors = 2.5;
  double change_errors = 2.5;
  // Smaller differences of the logarithm are ignored.
  double min_difference = 0.12;
  // Samples are clamped to this factor above and below the usual time.
  double max_deviation = 6;
  // Weight of samples below which nothing is concluded.
  double min_weight = 4;
  // What a server tells about its machine is forgotten after this time.
  Duration told_max_age = std::chrono::milliseconds(600);
  // A collector's verdict is ignored after this time.
  Duration verdict_max_age = std::chrono::seconds(8);
  // Samples are kept for reports for this long, and no more than so many.
  Duration report_time = std::chrono::seconds(2);
  size_t max_reported_samples = 32;
};

// One answer of a server that did the work.
struct PaceSample {
  uint64_t kind = 0;  // Calls of one kind take about the same time.
  double calls = 1;   // Running and waiting at the server, this one included.
  // Without delays of the network, in a unit that is the same for all calls of
  // the kind.
  double time = 0;
  // Whether collectors are told. Not if this instance knows more of the
  // server's calls than they do.
  bool reported = true;
};

// A sample as instances report it. `run` is a hash of the server's id and start
// time, so that a sample is never taken for one of a later run.
struct PaceReport {
  uint32_t run = 0;
  double calls = 1;
  double log_ratio = 0;  // Natural logarithm of the time over the usual one.
  Duration age{};
};

// What a collector concluded about one run of a server.
struct PaceVerdict {
  uint32_t run = 0;
  double log_slowness = 0;
  // Share of the slots above which calls take longer; 1 if none is known.
  double limit_share = 1;
  double log_slowness_beyond = 0;  // Added beyond that share.
  double weight = 0;               // Of the samples behind it.
  Duration age{};

  bool operator==(const PaceVerdict&) const = default;
};

// How far the servers differ, each below its limit.
struct PaceSpread {
  double slowest = 1;
  double fastest = 1;
  int limited = 0;  // Servers with a limit below their slots.
  int told = 0;     // Servers whose told factor is in use.
};

// A server whose limit or speed has changed by half or more.
struct PaceChange {
  ServerId server;
  double slowness = 1;  // Below the limit.
  int limit = 0;        // Calls at once.
  double weight = 0;    // Of the samples behind it.
};

class ServerPace {
 public:
  explicit ServerPace(ServerPaceOptions options = {}) : options_(options) {}

  // Replaces the servers. What is known of others and of earlier runs is
  // dropped.
  void SetServers(const std::vector<const ListedServer*>& listed);

  // Records an answer to a call that the server ran without a failure.
  void OnAnswer(Time now, const ServerId& server, const PaceSample& sample);
  // Records how long the server says that work takes on its machine now: 2 for
  // twice as long as usual.
  void OnTold(Time now, const ServerId& server, double slowness);

  // Returns the factor by which a call at the server is expected to take longer
  // than usual if it is one of `calls` there.
  double SlownessAt(Time now, const ServerId& server, double calls) const;
  // Returns the number of calls up to which the server works well; its slots if
  // no lower limit is known, 0 if the server is unknown.
  int LimitOf(Time now, const ServerId& server) const;
  // Returns the factor that the server told, if it is believed; otherwise 1.
  double BelievedTold(Time now, const ServerId& server) const;
  // Returns the usual time of calls of the kind, in the unit of its samples; 0
  // if it isn't known.
  double UsualTime(const ServiceId& service, uint64_t kind) const;

  // Returns the samples after `since` that are kept for reports.
  std::vector<PaceReport> SamplesAfter(Time now, Time since) const;
  // Records another instance's sample, at a collector.
  void OnReport(Time now, const PaceReport& report);
  // Returns verdicts on at most `max` servers, those furthest from usual first.
  std::vector<PaceVerdict> Verdicts(Time now, size_t max) const;
  // The same from this instance's samples alone, on servers of which they
  // aren't reported.
  std::vector<PaceVerdict> OwnVerdicts(Time now, size_t max) const;
  void OnVerdict(Time now, const PaceVerdict& verdict);
  PaceSpread Spread(Time now) const;
  // Returns up to `max` servers of which this instance's own samples show that
  // they have changed by half since they were last returned.
  std::vector<PaceChange> TakeChanges(Time now, size_t max);

 private:
  // Shares of a server's slots; the last one also counts calls that wait.
  static constexpr size_t kLevels = 8;

  struct Evidence {
    double weight = 0;
    double sum = 0;  // Of logarithms.
    double mean() const { return weight > 0 ? sum / weight : 0; }
    void Fade(double factor) {
      weight *= factor;
      sum *= factor;
    }
    void Add(const Evidence& other) {
      weight += other.weight;
      sum += other.sum;
    }
  };
  struct Level {
    Evidence all;
    Evidence recent;  // Fades four times as fast.
  };
  // What the samples say; also what a verdict says.
  struct Conclusion {
    double log_slowness = 0;
    size_t limit_level = kLevels;  // The first level that is slower.
    double log_slowness_beyond = 0;
    double weight = 0;
    Time at;

    bool neutral() const { return log_slowness == 0 && limit_level == kLevels; }
  };
  // Whether the told factor explains the times; positive if it does.
  struct ToldGain {
    double weight = 0;
    double gain = 0;
    int vote = 0;  // 1 if it does, -1 if it doesn't, 0 if that isn't known.
  };
  struct Server {
    ServiceId service;
    int64_t started_ms = 0;
    uint32_t run = 0;
    int slots = 1;
    bool listed = false;
    bool reported = true;  // Its samples are.
    std::array<Level, kLevels> levels = {};
    Time faded_at;
    Conclusion own;
    std::optional<Conclusion> verdict;
    double log_told = 0;
    std::optional<Time> told_at;
    ToldGain told_gain;
    double logged_slowness = 1;
    int logged_limit = 0;
  };
  struct Usual {
    double samples = 0;
    double log_time = 0;
  };
  struct Service {
    absl::flat_hash_map<uint64_t, Usual> by_kind;
    // Moving average of the squared deviation of a sample.
    double variance = 0.25;
    int told_votes = 0;  // Of all servers.
  };

  size_t LevelOf(const Server& server, double calls) const;
  std::vector<PaceVerdict> VerdictsFrom(
      Time now, size_t max,
      const std::function<const Conclusion*(const Server&)>& conclusion_of)
      const;
  // Returns the own conclusion, or a recent verdict with more behind it.
  const Conclusion& InForce(Time now, const Server& server) const;
  double Fade(Time now, Time since) const;
  void Add(Time now, Server& server, double calls, double log_ratio);
  // Forgets the earlier samples of a level if the recent ones differ.
  void DetectChange(Level& level, double variance) const;
  void Conclude(Time now, Server& server);
  // Returns the samples of the levels right below, about as many as of this
  // one.
  static Evidence Neighbours(const Server& server, size_t level,
                             double& mean_level);
  void JudgeTold(Server& server, Service& service, double log_ratio) const;
  bool BelievesTold(const Server& server, const Service& service) const;
  double LogTold(Time now, const Server& server) const;

  ServerPaceOptions options_;
  absl::flat_hash_map<ServerId, Server> servers_;
  absl::flat_hash_map<uint32_t, ServerId> by_run_;
  absl::flat_hash_map<ServiceId, Service> services_;
  struct Reported {
    PaceReport report;
    Time at;
  };
  std::deque<Reported> reported_;
};

}  // namespace oleander

#endif  // OLEANDER_SERVER_PACE_H_
