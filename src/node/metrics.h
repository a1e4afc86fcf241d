// The metrics of the process, collected with prometheus-cpp and served as text.
#ifndef OLEANDER_NODE_METRICS_H_
#define OLEANDER_NODE_METRICS_H_

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <string>
#include <string_view>

#include "oleander/result_code.h"
#include "oleander/types.h"

namespace oleander::node {

// Counts events and latencies. Label values come from small sets, never from
// request or workspace ids, so that the number of time series is bounded.
class Metrics {
 public:
  Metrics();

  void CountAnswer(std::string_view service, ResultCode code);
  void CountInvariantFailure(std::string_view name);
  void CountStoreCall(std::string_view call_class, std::string_view outcome);
  void CountTokens(std::string_view service, uint64_t tokens);
  void CountRecomputedTokens(std::string_view service, uint64_t tokens);
  void CountRetry(std::string_view service);
  void CountDroppedEvents(std::string_view reason, uint64_t events);
  void ObserveFirstToken(std::string_view service, Duration latency);
  void ObserveHold(Duration latency);
  // Sets a total that another component counts. Called before the metrics are
  // served.
  void SetTotal(const std::string& name, const std::string& label,
                double value);

  // Returns all metrics in the Prometheus text format.
  std::string Text() const;

 private:
  using CounterFamily = prometheus::Family<prometheus::Counter>;
  using GaugeFamily = prometheus::Family<prometheus::Gauge>;
  using HistogramFamily = prometheus::Family<prometheus::Histogram>;

  std::shared_ptr<prometheus::Registry> registry_;
  CounterFamily& answers_;
  CounterFamily& invariant_failures_;
  CounterFamily& store_calls_;
  CounterFamily& tokens_;
  CounterFamily& recomputed_tokens_;
  CounterFamily& retries_;
  CounterFamily& dropped_events_;
  HistogramFamily& first_token_;
  HistogramFamily& hold_;
};

}  // namespace oleander::node

#endif  // OLEANDER_NODE_METRICS_H_
