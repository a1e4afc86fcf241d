// Prometheus metrics of an entry instance.
#ifndef OLEANDER_ENTRY_ENTRY_METRICS_H_
#define OLEANDER_ENTRY_ENTRY_METRICS_H_

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <string>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "oleander/result_code.h"
#include "oleander/rollouts.h"
#include "oleander/server_pace.h"
#include "oleander/types.h"

namespace oleander::entry {

// Labels are limited to a bounded set of values: services and result codes,
// never requests or workspaces.
class EntryMetrics {
 public:
  EntryMetrics();

  // Counts the final answer to a call and records how long its caller waited
  // for it.
  void CountAnswer(const ServiceId& service, ResultCode code, Duration latency);
  void ObserveFirstEvent(const ServiceId& service, Duration latency);
  void CountAttempt(const ServiceId& service);
  void CountResume(const ServiceId& service);
  // Counts an answer whose server's load could not be read in full.
  void CountUnreadableLoad(const ServiceId& service);
  // Counts a store call by its kind and whether it succeeded.
  void CountStoreCall(std::string_view call, bool answered);
  // Counts a call of a duty by its kind and whether the platform accepted it.
  void CountOrder(std::string_view duty, bool accepted);
  void SetConfigVersion(int64_t version);
  // Sets the newest version that is known to exist.
  void SetConfigHeard(int64_t version);
  // Counts the bytes of a configuration that came from the store or a peer.
  void CountConfigBytes(std::string_view source, size_t bytes);
  void SetServers(size_t ready);
  // Sets how far the learned pace of servers differs.
  void SetPace(const PaceSpread& spread);
  void SetSuspects(size_t requests, size_t prompt_parts);
  void SetHeldBodyBytes(size_t bytes);
  // Counts a call that was handed to a peer, for each peer.
  void CountRelayed();
  // Sets whether this instance is cut off from the backend servers.
  void SetCutOff(bool cut_off);

  // Sets the stage of a service's roll-out, and the share of the calls that
  // begin at the target.
  void SetRollout(const ServiceId& service, RolloutPhase phase, double share);
  // Counts calls that were sent to the target of a roll-out, and bad answers.
  void CountRolloutCalls(const ServiceId& service, int64_t sent, int64_t bad);

  // Returns the metrics in the Prometheus text format.
  std::string Text() const;

 private:
  using CounterFamily = prometheus::Family<prometheus::Counter>;
  using HistogramFamily = prometheus::Family<prometheus::Histogram>;

  prometheus::Histogram& LatencyOf(HistogramFamily& family,
                                   const ServiceId& service);

  std::shared_ptr<prometheus::Registry> registry_;
  CounterFamily& answers_;
  HistogramFamily& latency_;
  HistogramFamily& first_event_;
  CounterFamily& attempts_;
  CounterFamily& resumes_;
  CounterFamily& unreadable_loads_;
  CounterFamily& store_calls_;
  CounterFamily& orders_;
  CounterFamily& config_bytes_;
  prometheus::Gauge& config_version_;
  prometheus::Gauge& config_heard_;
  prometheus::Gauge& servers_;
  prometheus::Gauge& slowest_server_;
  prometheus::Gauge& fastest_server_;
  prometheus::Gauge& limited_servers_;
  prometheus::Gauge& told_servers_;
  prometheus::Gauge& suspected_requests_;
  prometheus::Gauge& suspected_parts_;
  prometheus::Gauge& held_body_bytes_;
  prometheus::Counter& relayed_;
  prometheus::Gauge& cut_off_;
  prometheus::Family<prometheus::Gauge>& rollout_stage_;
  prometheus::Family<prometheus::Gauge>& rollout_share_;
  CounterFamily& rollout_sent_;
  CounterFamily& rollout_bad_;
};

}  // namespace oleander::entry

#endif  // OLEANDER_ENTRY_ENTRY_METRICS_H_
