// The counters and histograms of an entry instance.
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
#include "oleander/types.h"

namespace oleander::entry {

// Label values stay few, so that their number is bounded: services and result
// codes, never a request or a workspace.
class EntryMetrics {
 public:
  EntryMetrics();

  // A call's final answer, and how long its caller waited for it.
  void CountAnswer(const ServiceId& service, ResultCode code, Duration latency);
  void ObserveFirstEvent(const ServiceId& service, Duration latency);
  void CountAttempt(const ServiceId& service);
  void CountResume(const ServiceId& service);
  void CountStoreCall(std::string_view call, bool answered);
  void CountOrder(std::string_view duty, bool accepted);
  void SetConfigVersion(int64_t version);
  void SetServers(size_t ready);

  // The text form of the Prometheus exposition format.
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
  CounterFamily& store_calls_;
  CounterFamily& orders_;
  prometheus::Gauge& config_version_;
  prometheus::Gauge& servers_;
};

}  // namespace oleander::entry

#endif  // OLEANDER_ENTRY_ENTRY_METRICS_H_
