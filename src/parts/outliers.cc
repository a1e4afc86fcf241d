#include "oleander/outliers.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace oleander {
namespace {

// Weight of a new sample in the moving average of a server's slowness.
constexpr double kSlownessWeight = 0.1;
// Lower bound of the expected time, so that noise on a very short time doesn't
// look like a large multiple.
constexpr Duration kMinExpected = std::chrono::milliseconds(250);
// Upper bound of one sample's slowness, so that a few calls behind a long
// prompt don't eject a server.
constexpr double kMaxSampleRatio = 8;
constexpr int kMaxDoublings = 5;

}  // namespace

OutlierDetector::OutlierDetector(const OutlierOptions& options)
    : options_(options) {}

void OutlierDetector::SetServers(const std::vector<ServerId>& servers) {
  absl::flat_hash_map<ServerId, State> retained;
  for (const ServerId& server : servers) {
    const auto known = servers_.find(server);
    retained.emplace(server, known == servers_.end() ? State{} : known->second);
  }
  servers_ = std::move(retained);
}

void OutlierDetector::OnLatency(Time now, const ServerId& server,
                                Duration observed, Duration expected) {
  const auto found = servers_.find(server);
  if (found == servers_.end()) return;
  State& state = found->second;
  const double ratio =
      static_cast<double>(observed.count()) /
      static_cast<double>(std::max(expected, kMinExpected).count());
  state.slowness +=
      kSlownessWeight * (std::min(ratio, kMaxSampleRatio) - state.slowness);
  ++state.samples;
  const bool slow = state.samples >= options_.min_samples &&
                    state.slowness > options_.slow_factor * MedianSlowness();
  if (slow) {
    Eject(now, state);
  } else if (state.samples >= options_.min_samples) {
    state.consecutive_ejections = 0;
  }
}

void OutlierDetector::OnFailure(Time now, const ServerId& server) {
  const auto found = servers_.find(server);
  if (found == servers_.end()) return;
  ++found->second.consecutive_failures;
  if (found->second.consecutive_failures >= options_.consecutive_failures) {
    Eject(now, found->second);
  }
}

void OutlierDetector::OnSuccess(const ServerId& server) {
  const auto found = servers_.find(server);
  if (found != servers_.end()) found->second.consecutive_failures = 0;
}

bool OutlierDetector::IsEjected(Time now, const ServerId& server) const {
  return ejected_until(server) > now;
}

Time OutlierDetector::ejected_until(const ServerId& server) const {
  const auto found = servers_.find(server);
  return found == servers_.end() ? Time{} : found->second.ejected_until;
}

int OutlierDetector::ejected_count(Time now) const {
  return static_cast<int>(std::ranges::count_if(
      servers_,
      [now](const auto& entry) { return entry.second.ejected_until > now; }));
}

double OutlierDetector::MedianSlowness() const {
  std::vector<double> all;
  for (const auto& [server, state] : servers_) {
    if (state.samples > 0) all.push_back(state.slowness);
  }
  if (all.empty()) return 1;
  // Lower median, so that the faster of two servers is the reference.
  const auto middle = all.begin() + static_cast<int>((all.size() - 1) / 2);
  std::ranges::nth_element(all, middle);
  // In a pool that is faster than expected no server counts as slow for being
  // only as fast as expected.
  return std::max(*middle, 1.0);
}

bool OutlierDetector::MayEject(Time now) const {
  const int in_use_after =
      static_cast<int>(servers_.size()) - ejected_count(now) - 1;
  return in_use_after >=
         std::max(1, static_cast<int>(
                         std::ceil(options_.min_in_use_share *
                                   static_cast<double>(servers_.size()))));
}

void OutlierDetector::Eject(Time now, State& state) {
  if (state.ejected_until > now || !MayEject(now)) return;
  const int doublings = std::min(state.consecutive_ejections, kMaxDoublings);
  state.ejected_until =
      now + std::min(options_.base_ejection_time * (1 << doublings),
                     options_.max_ejection_time);
  ++state.consecutive_ejections;
  // After the ejection the server is evaluated by new samples only.
  state.samples = 0;
  state.slowness = 1;
  state.consecutive_failures = 0;
}

}  // namespace oleander
