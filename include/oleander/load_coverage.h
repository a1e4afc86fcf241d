// Tracks from how many instances the load of the backend servers is known.
//
// An idle server reports no load, and neither does one whose reports do not
// arrive. They differ in the instances that are heard: each instance passes its
// reports on to the readers of the store several times a second, also when it
// has none (see server_loads.h). A reader counts the instances that did so
// lately and names the count in its replies. Readers don't pass loads on to
// each other, so the readers that replied count as well.
//
//   LoadCoverage coverage;
//   coverage.SetInstances(now, 144);
//   coverage.OnHeard(now, peer);               // At a reader.
//   coverage.OnReaderCount(sent_at, reader, count);  // From each reader.
//   if (coverage.Share(now) < 0.8) return;  // Silence proves nothing.
//
// Designed for hundreds of instances of which some are cut off from the
// readers, and for a holder of a duty that is cut off itself.
#ifndef OLEANDER_LOAD_COVERAGE_H_
#define OLEANDER_LOAD_COVERAGE_H_

#include <cstddef>
#include <map>

#include "oleander/recent_maximum.h"
#include "oleander/types.h"

namespace oleander {

class LoadCoverage {
 public:
  // Sets the number of live instances, this one included. Instances that can't
  // reach the store seem to have ended, though they still serve; so the largest
  // number of the last minute counts.
  void SetInstances(Time now, size_t instances) {
    instances_ = recent_instances_.Observe(now, instances);
  }

  // The loads of `peer` have just arrived, perhaps without any report.
  void OnHeard(Time now, const InstanceId& peer) { heard_[peer] = now; }
  // A reader replied to a query that was sent at `sent_at` that it had heard
  // from `instances`, itself included. Zero if it doesn't say.
  void OnReaderCount(Time sent_at, const InstanceId& reader, size_t instances);

  // Returns from how many instances loads arrived here lately, this instance
  // included.
  size_t Heard(Time now);
  // Returns the share of the live instances whose loads are known here, at most
  // 1.
  double Share(Time now);

 private:
  RecentMaximum recent_instances_{std::chrono::minutes(1)};
  size_t instances_ = 0;  // Zero until it is known.
  std::map<InstanceId, Time> heard_;
  Time expired_at_;  // When old entries of heard_ were last removed.
  struct ReaderCount {
    Time at;
    size_t instances = 0;
  };
  std::map<InstanceId, ReaderCount> readers_;
};

}  // namespace oleander

#endif  // OLEANDER_LOAD_COVERAGE_H_
