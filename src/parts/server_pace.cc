#include "oleander/server_pace.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace oleander {
namespace {

// Kinds of calls that are told apart in one service; routes are fewer.
constexpr size_t kMaxKinds = 256;
// Samples of a kind before others are compared with their mean.
constexpr double kMinUsualSamples = 8;
// Samples that the usual time of a kind is averaged over.
constexpr double kUsualWindow = 200;
// Weight of a sample in the moving average of the variance.
constexpr double kVarianceWeight = 0.02;
// The weight of recent samples halves so many times as fast.
constexpr int kRecentFade = 4;
// Recent samples below which no change is concluded.
constexpr double kMinRecent = 3;
// The told factor is judged by samples at which it differs this much from 1, as
// a logarithm, with this weight of a sample in the moving average.
constexpr double kMinLogTold = 0.1;
constexpr double kToldWeight = 0.1;
constexpr double kMinToldSamples = 5;
// Bounds of what a server may tell and a verdict may say, as logarithms.
constexpr double kMaxLog = 2.3;

uint32_t HashOfRun(const ServerId& server, int64_t started_ms) {
  return static_cast<uint32_t>(XXH64(server.value().data(),
                                     server.value().size(),
                                     static_cast<uint64_t>(started_ms)));
}

// Returns the part of `value` beyond `margin`, with its sign.
double Beyond(double value, double margin) {
  return std::copysign(std::max(0.0, std::abs(value) - margin), value);
}

}  // namespace

void ServerPace::SetServers(const std::vector<const ListedServer*>& listed) {
  for (auto& [id, server] : servers_) {
    server.listed = false;
  }
  for (const ListedServer* server : listed) {
    Server& known = servers_[server->id];
    if (known.run == 0 || known.started_ms != server->started_ms) {
      known = Server();
      known.started_ms = server->started_ms;
      known.run = HashOfRun(server->id, server->started_ms);
    }
    known.service = server->service;
    known.slots = std::max(1, server->slots);
    known.listed = true;
  }
  absl::erase_if(servers_,
                 [](const auto& item) { return !item.second.listed; });
  by_run_.clear();
  for (auto& [id, service] : services_) {
    service.told_votes = 0;
  }
  for (const auto& [id, server] : servers_) {
    by_run_[server.run] = id;
    services_[server.service].told_votes += server.told_gain.vote;
  }
}

size_t ServerPace::LevelOf(const Server& server, double calls) const {
  const double share = (calls - 1) / server.slots;
  return std::min(
      kLevels - 1,
      static_cast<size_t>(std::max(0.0, share) * static_cast<double>(kLevels)));
}

double ServerPace::Fade(Time now, Time since) const {
  return std::exp2(-static_cast<double>((now - since).count()) /
                   static_cast<double>(options_.half_life.count()));
}

void ServerPace::OnAnswer(Time now, const ServerId& server,
                          const PaceSample& sample) {
  const auto found = servers_.find(server);
  if (found == servers_.end() || !(sample.time > 0)) {
    return;
  }
  Server& known = found->second;
  Service& service = services_[known.service];
  if (service.by_kind.size() >= kMaxKinds &&
      !service.by_kind.contains(sample.kind)) {
    return;
  }
  // A call behind others that wait takes the time of its turn, too.
  const double turns = std::max(1.0, sample.calls / known.slots);
  const double log_time = std::log(sample.time / turns);
  Usual& usual = service.by_kind[sample.kind];
  const bool comparable = usual.samples >= kMinUsualSamples;
  const double max_log = std::log(options_.max_deviation);
  const double deviation =
      comparable ? std::clamp(log_time - usual.log_time, -max_log, max_log)
                 : log_time - usual.log_time;
  usual.samples = std::min(usual.samples + 1, kUsualWindow);
  usual.log_time += deviation / usual.samples;
  if (!comparable) {
    return;
  }
  JudgeTold(known, service, deviation);
  const double log_ratio = deviation - LogTold(now, known);
  Add(now, known, sample.calls, log_ratio);
  known.reported = sample.reported;
  if (!sample.reported) {
    return;
  }
  while (!reported_.empty() &&
         now - reported_.front().at > options_.report_time) {
    reported_.pop_front();
  }
  if (reported_.size() < options_.max_reported_samples) {
    reported_.push_back({.report = {.run = known.run,
                                    .calls = sample.calls,
                                    .log_ratio = log_ratio},
                         .at = now});
  }
}

void ServerPace::OnReport(Time now, const PaceReport& report) {
  const auto run = by_run_.find(report.run);
  if (run == by_run_.end() || !std::isfinite(report.log_ratio) ||
      !std::isfinite(report.calls)) {
    return;
  }
  const double max_log = std::log(options_.max_deviation);
  Add(now, servers_.at(run->second), report.calls,
      std::clamp(report.log_ratio, -max_log, max_log));
}

void ServerPace::Add(Time now, Server& server, double calls, double log_ratio) {
  const double fade = Fade(now, server.faded_at);
  const double recent_fade = std::pow(fade, kRecentFade);
  for (Level& level : server.levels) {
    level.all.Fade(fade);
    level.recent.Fade(recent_fade);
  }
  server.faded_at = now;
  Level& level = server.levels[LevelOf(server, calls)];
  double& variance = services_[server.service].variance;
  const double residual = log_ratio - level.all.mean();
  variance += kVarianceWeight * (residual * residual - variance);
  const Evidence sample{.weight = 1, .sum = log_ratio};
  level.all.Add(sample);
  level.recent.Add(sample);
  DetectChange(level, variance);
  Conclude(now, server);
}

void ServerPace::DetectChange(Level& level, double variance) const {
  const Evidence earlier{.weight = level.all.weight - level.recent.weight,
                         .sum = level.all.sum - level.recent.sum};
  if (level.recent.weight < kMinRecent || earlier.weight <= 0) {
    return;
  }
  const double by_chance =
      options_.change_errors *
      std::sqrt(variance / level.recent.weight + variance / earlier.weight);
  if (std::abs(level.recent.mean() - earlier.mean()) >
      std::max(by_chance, options_.min_difference)) {
    level.all = level.recent;
  }
}

ServerPace::Evidence ServerPace::Neighbours(const Server& server, size_t level,
                                            double& mean_level) {
  Evidence below;
  double level_sum = 0;
  for (size_t i = level;
       i > 0 && below.weight < server.levels[level].all.weight; --i) {
    const Evidence& next = server.levels[i - 1].all;
    below.Add(next);
    level_sum += next.weight * static_cast<double>(i - 1);
  }
  mean_level = below.weight > 0 ? level_sum / below.weight : 0;
  return below;
}

void ServerPace::Conclude(Time now, Server& server) {
  const double variance = services_[server.service].variance;
  Conclusion conclusion{.at = now};
  Evidence below;  // All levels below the limit.
  Evidence beyond;
  for (size_t i = 0; i < kLevels; ++i) {
    const Evidence& level = server.levels[i].all;
    double mean_level = 0;
    const Evidence neighbours = Neighbours(server, i, mean_level);
    const bool comparable = neighbours.weight >= options_.min_weight &&
                            level.weight >= options_.min_weight;
    if (conclusion.limit_level == kLevels && comparable) {
      const double more_calls =
          std::log((static_cast<double>(i) + 1) / (mean_level + 1));
      const double by_chance =
          options_.chance_errors *
          std::sqrt(variance / level.weight + variance / neighbours.weight);
      if (level.mean() - neighbours.mean() >
          std::max({more_calls, by_chance, options_.min_difference})) {
        conclusion.limit_level = i;
      }
    }
    (conclusion.limit_level == kLevels ? below : beyond).Add(level);
  }
  if (below.weight >= options_.min_weight) {
    const double by_chance =
        options_.chance_errors * std::sqrt(variance / below.weight);
    conclusion.log_slowness =
        Beyond(below.mean(), std::max(by_chance, options_.min_difference));
  }
  if (conclusion.limit_level < kLevels) {
    conclusion.log_slowness_beyond =
        std::max(0.0, beyond.mean() - below.mean());
  }
  conclusion.weight = below.weight + beyond.weight;
  server.own = conclusion;
}

const ServerPace::Conclusion& ServerPace::InForce(Time now,
                                                  const Server& server) const {
  const bool recent =
      server.verdict && now - server.verdict->at < options_.verdict_max_age;
  const auto weight = [&](const Conclusion& conclusion) {
    return conclusion.weight * Fade(now, conclusion.at);
  };
  return recent && weight(*server.verdict) > weight(server.own)
             ? *server.verdict
             : server.own;
}

double ServerPace::SlownessAt(Time now, const ServerId& server,
                              double calls) const {
  const auto found = servers_.find(server);
  if (found == servers_.end()) {
    return 1;
  }
  const Server& known = found->second;
  const Conclusion& conclusion = InForce(now, known);
  double log_slowness = LogTold(now, known);
  if (!conclusion.neutral()) {
    const bool beyond = LevelOf(known, calls) >= conclusion.limit_level;
    log_slowness += Fade(now, conclusion.at) *
                    (conclusion.log_slowness +
                     (beyond ? conclusion.log_slowness_beyond : 0.0));
  }
  return log_slowness == 0 ? 1 : std::exp(log_slowness);
}

int ServerPace::LimitOf(Time now, const ServerId& server) const {
  const auto found = servers_.find(server);
  if (found == servers_.end()) {
    return 0;
  }
  const Server& known = found->second;
  const Conclusion& conclusion = InForce(now, known);
  // The evidence has faded once the rest is within what is ignored.
  const bool limited =
      conclusion.limit_level < kLevels &&
      conclusion.log_slowness_beyond * Fade(now, conclusion.at) >
          options_.min_difference;
  return limited ? std::max<int>(1, static_cast<int>(conclusion.limit_level) *
                                        known.slots / static_cast<int>(kLevels))
                 : known.slots;
}

double ServerPace::UsualTime(const ServiceId& service, uint64_t kind) const {
  const auto known = services_.find(service);
  if (known == services_.end()) {
    return 0;
  }
  const auto usual = known->second.by_kind.find(kind);
  return usual == known->second.by_kind.end() ||
                 usual->second.samples < kMinUsualSamples
             ? 0
             : std::exp(usual->second.log_time);
}

void ServerPace::OnTold(Time now, const ServerId& server, double slowness) {
  const auto found = servers_.find(server);
  if (found == servers_.end() || !(slowness > 0)) {
    return;
  }
  found->second.log_told = std::clamp(std::log(slowness), -kMaxLog, kMaxLog);
  found->second.told_at = now;
}

void ServerPace::JudgeTold(Server& server, Service& service,
                           double log_ratio) const {
  if (!server.told_at || std::abs(server.log_told) < kMinLogTold) {
    return;
  }
  const double gain =
      std::abs(log_ratio) - std::abs(log_ratio - server.log_told);
  ToldGain& known = server.told_gain;
  known.weight += 1;
  known.gain += (gain - known.gain) * std::max(kToldWeight, 1 / known.weight);
  service.told_votes -= known.vote;
  if (known.weight >= kMinToldSamples) {
    known.vote = known.gain > 0 ? 1 : -1;
  }
  service.told_votes += known.vote;
}

bool ServerPace::BelievesTold(const Server& server,
                              const Service& service) const {
  return (server.told_gain.vote != 0 ? server.told_gain.vote
                                     : service.told_votes) > 0;
}

// A factor that changes at even intervals of told_max_age still holds, after a
// part of that time, with the probability of the rest.
double ServerPace::LogTold(Time now, const Server& server) const {
  if (!server.told_at || server.log_told == 0 ||
      now - *server.told_at >= options_.told_max_age) {
    return 0;
  }
  const auto service = services_.find(server.service);
  if (service == services_.end() || !BelievesTold(server, service->second)) {
    return 0;
  }
  return server.log_told *
         (1 - static_cast<double>((now - *server.told_at).count()) /
                  static_cast<double>(options_.told_max_age.count()));
}

double ServerPace::BelievedTold(Time now, const ServerId& server) const {
  const auto found = servers_.find(server);
  return found == servers_.end() ? 1 : std::exp(LogTold(now, found->second));
}

std::vector<PaceReport> ServerPace::SamplesAfter(Time now, Time since) const {
  std::vector<PaceReport> reports;
  for (const Reported& reported : reported_) {
    if (reported.at > since && now - reported.at <= options_.report_time) {
      reports.push_back(reported.report);
      reports.back().age = now - reported.at;
    }
  }
  return reports;
}

std::vector<PaceVerdict> ServerPace::Verdicts(Time now, size_t max) const {
  return VerdictsFrom(
      now, max, [&](const Server& server) { return &InForce(now, server); });
}

std::vector<PaceVerdict> ServerPace::OwnVerdicts(Time now, size_t max) const {
  return VerdictsFrom(now, max, [](const Server& server) {
    return server.reported ? nullptr : &server.own;
  });
}

std::vector<PaceVerdict> ServerPace::VerdictsFrom(
    Time now, size_t max,
    const std::function<const Conclusion*(const Server&)>& conclusion_of)
    const {
  std::vector<PaceVerdict> verdicts;
  for (const auto& [id, server] : servers_) {
    const Conclusion* conclusion = conclusion_of(server);
    if (conclusion == nullptr || conclusion->neutral() ||
        now - conclusion->at >= options_.verdict_max_age) {
      continue;
    }
    verdicts.push_back(
        {.run = server.run,
         .log_slowness = conclusion->log_slowness,
         .limit_share = static_cast<double>(conclusion->limit_level) / kLevels,
         .log_slowness_beyond = conclusion->log_slowness_beyond,
         .weight = conclusion->weight,
         .age = now - conclusion->at});
  }
  const auto distance = [](const PaceVerdict& verdict) {
    return std::abs(verdict.log_slowness) + verdict.log_slowness_beyond;
  };
  const size_t count = std::min(max, verdicts.size());
  std::ranges::partial_sort(
      verdicts, verdicts.begin() + static_cast<std::ptrdiff_t>(count),
      std::greater{}, distance);
  verdicts.resize(count);
  return verdicts;
}

void ServerPace::OnVerdict(Time now, const PaceVerdict& verdict) {
  const auto run = by_run_.find(verdict.run);
  const bool valid = std::isfinite(verdict.log_slowness) &&
                     std::isfinite(verdict.log_slowness_beyond) &&
                     std::isfinite(verdict.weight) &&
                     verdict.limit_share >= 0 && verdict.limit_share <= 1 &&
                     verdict.age >= Duration::zero();
  if (run == by_run_.end() || !valid) {
    return;
  }
  Server& server = servers_.at(run->second);
  const Time at = now - verdict.age;
  if (server.verdict && server.verdict->at >= at) {
    return;
  }
  server.verdict = {
      .log_slowness = std::clamp(verdict.log_slowness, -kMaxLog, kMaxLog),
      .limit_level =
          static_cast<size_t>(std::lround(verdict.limit_share * kLevels)),
      .log_slowness_beyond =
          std::clamp(verdict.log_slowness_beyond, 0.0, kMaxLog),
      .weight = verdict.weight,
      .at = at};
}

PaceSpread ServerPace::Spread(Time now) const {
  PaceSpread spread;
  for (const auto& [id, server] : servers_) {
    const Conclusion& conclusion = InForce(now, server);
    if (!conclusion.neutral()) {
      const double slowness =
          std::exp(conclusion.log_slowness * Fade(now, conclusion.at));
      spread.slowest = std::max(spread.slowest, slowness);
      spread.fastest = std::min(spread.fastest, slowness);
      spread.limited += LimitOf(now, id) < server.slots ? 1 : 0;
    }
    spread.told += LogTold(now, server) != 0 ? 1 : 0;
  }
  return spread;
}

std::vector<PaceChange> ServerPace::TakeChanges(Time now, size_t max) {
  const auto by_half = [](double before, double after) {
    return after >= 1.5 * before || before >= 1.5 * after;
  };
  std::vector<PaceChange> changes;
  for (auto& [id, server] : servers_) {
    if (changes.size() == max) {
      break;
    }
    const Conclusion& conclusion = InForce(now, server);
    if (&conclusion != &server.own) {
      continue;
    }
    const double slowness =
        std::exp(conclusion.log_slowness * Fade(now, conclusion.at));
    const int limit = LimitOf(now, id);
    const int logged =
        server.logged_limit == 0 ? server.slots : server.logged_limit;
    if (!by_half(server.logged_slowness, slowness) && !by_half(logged, limit)) {
      continue;
    }
    server.logged_slowness = slowness;
    server.logged_limit = limit;
    const double weight = std::accumulate(
        server.levels.begin(), server.levels.end(), 0.0,
        [](double sum, const Level& level) { return sum + level.all.weight; });
    changes.push_back({.server = id,
                       .slowness = slowness,
                       .limit = limit,
                       .weight = weight * Fade(now, server.faded_at)});
  }
  return changes;
}

}  // namespace oleander
