#include "oleander/outliers.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace oleander {
namespace {

// The weight of a new sample in a server's slowness.
constexpr double kSampleWeight = 0.1;
// Expected times below this are counted as this: noise would look like a
// multiple of very little.
constexpr Duration kLeastExpected = std::chrono::milliseconds(250);
// One sample counts as at most this slow, so that a few calls behind a long
// prompt shed nobody.
constexpr double kMostSlowness = 8;
constexpr int kMostDoublings = 5;

}  // namespace

OutlierDetector::OutlierDetector(const OutlierOptions& options)
    : options_(options) {}

void OutlierDetector::SetServers(const std::vector<ServerId>& servers) {
  absl::flat_hash_map<ServerId, State> kept;
  for (const ServerId& server : servers) {
    const auto known = servers_.find(server);
    kept.emplace(server, known == servers_.end() ? State{} : known->second);
  }
  servers_ = std::move(kept);
}

void OutlierDetector::OnLatency(Time now, const ServerId& server,
                                Duration observed, Duration expected) {
  const auto found = servers_.find(server);
  if (found == servers_.end()) return;
  State& state = found->second;
  const double ratio =
      static_cast<double>(observed.count()) /
      static_cast<double>(std::max(expected, kLeastExpected).count());
  state.slowness +=
      kSampleWeight * (std::min(ratio, kMostSlowness) - state.slowness);
  ++state.samples;
  const bool slow = state.samples >= options_.min_samples &&
                    state.slowness > options_.slow_factor * MedianSlowness();
  if (slow) {
    Shed(now, state);
  } else if (state.samples >= options_.min_samples) {
    state.sheds_in_a_row = 0;
  }
}

void OutlierDetector::OnFailure(Time now, const ServerId& server) {
  const auto found = servers_.find(server);
  if (found == servers_.end()) return;
  ++found->second.failures_in_a_row;
  if (found->second.failures_in_a_row >= options_.failures_in_a_row) {
    Shed(now, found->second);
  }
}

void OutlierDetector::OnSuccess(const ServerId& server) {
  const auto found = servers_.find(server);
  if (found != servers_.end()) found->second.failures_in_a_row = 0;
}

bool OutlierDetector::IsShed(Time now, const ServerId& server) const {
  return shed_until(server) > now;
}

Time OutlierDetector::shed_until(const ServerId& server) const {
  const auto found = servers_.find(server);
  return found == servers_.end() ? Time{} : found->second.shed_until;
}

int OutlierDetector::shed_count(Time now) const {
  return static_cast<int>(std::ranges::count_if(
      servers_,
      [now](const auto& entry) { return entry.second.shed_until > now; }));
}

double OutlierDetector::MedianSlowness() const {
  std::vector<double> all;
  for (const auto& [server, state] : servers_) {
    if (state.samples > 0) all.push_back(state.slowness);
  }
  if (all.empty()) return 1;
  // The lower median, so that of two servers the quicker one sets the measure.
  const auto middle = all.begin() + static_cast<int>((all.size() - 1) / 2);
  std::ranges::nth_element(all, middle);
  return std::max(*middle, 0.1);
}

bool OutlierDetector::FloorAllows(Time now) const {
  const int in_use_after =
      static_cast<int>(servers_.size()) - shed_count(now) - 1;
  return in_use_after >=
         std::max(1,
                  static_cast<int>(std::ceil(
                      options_.floor * static_cast<double>(servers_.size()))));
}

void OutlierDetector::Shed(Time now, State& state) {
  if (state.shed_until > now || !FloorAllows(now)) return;
  const int doublings = std::min(state.sheds_in_a_row, kMostDoublings);
  state.shed_until = now + std::min(options_.first_shed * (1 << doublings),
                                    options_.longest_shed);
  ++state.sheds_in_a_row;
  // It is judged anew by what it does after its return.
  state.samples = 0;
  state.slowness = 1;
  state.failures_in_a_row = 0;
}

}  // namespace oleander
