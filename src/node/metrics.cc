#include "node/metrics.h"

#include <prometheus/text_serializer.h>

namespace oleander::node {
namespace {

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::BuildHistogram;
using prometheus::Histogram;

const Histogram::BucketBoundaries& FirstTokenBuckets() {
  static const Histogram::BucketBoundaries buckets = {
      0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.5, 2, 5, 15};
  return buckets;
}

const Histogram::BucketBoundaries& HoldBuckets() {
  static const Histogram::BucketBoundaries buckets = {
      0.0002, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.05, 0.2, 1};
  return buckets;
}

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

Metrics::Metrics()
    : registry_(std::make_shared<prometheus::Registry>()),
      answers_(BuildCounter()
                   .Name("oleander_answers_total")
                   .Help("Final answers by service and result code.")
                   .Register(*registry_)),
      invariant_failures_(BuildCounter()
                              .Name("oleander_invariant_failures_total")
                              .Help("Invariants that failed.")
                              .Register(*registry_)),
      store_calls_(
          BuildCounter()
              .Name("oleander_store_calls_total")
              .Help("Calls of the key-value service by class and outcome.")
              .Register(*registry_)),
      tokens_(BuildCounter()
                  .Name("oleander_tokens_total")
                  .Help("Tokens received from engines.")
                  .Register(*registry_)),
      recomputed_tokens_(
          BuildCounter()
              .Name("oleander_recomputed_tokens_total")
              .Help("Tokens that an engine had to compute again.")
              .Register(*registry_)),
      retries_(BuildCounter()
                   .Name("oleander_retries_total")
                   .Help("Attempts after the first.")
                   .Register(*registry_)),
      dropped_events_(BuildCounter()
                          .Name("oleander_dropped_events_total")
                          .Help("Engine events that were late, doubled, "
                                "foreign or malformed.")
                          .Register(*registry_)),
      first_token_(BuildHistogram()
                       .Name("oleander_first_token_seconds")
                       .Help("From a request's arrival to its first token.")
                       .Register(*registry_)),
      hold_(
          BuildHistogram()
              .Name("oleander_hold_seconds")
              .Help(
                  "From a request's arrival to its replica's acknowledgement.")
              .Register(*registry_)) {}

void Metrics::CountAnswer(std::string_view service, ResultCode code) {
  answers_
      .Add({{"service", std::string(service)},
            {"code", std::to_string(static_cast<int>(code))}})
      .Increment();
}

void Metrics::CountInvariantFailure(std::string_view name) {
  invariant_failures_.Add({{"name", std::string(name)}}).Increment();
}

void Metrics::CountStoreCall(std::string_view call_class,
                             std::string_view outcome) {
  store_calls_
      .Add({{"class", std::string(call_class)},
            {"outcome", std::string(outcome)}})
      .Increment();
}

void Metrics::CountTokens(std::string_view service, uint64_t tokens) {
  tokens_.Add({{"service", std::string(service)}})
      .Increment(static_cast<double>(tokens));
}

void Metrics::CountRecomputedTokens(std::string_view service, uint64_t tokens) {
  recomputed_tokens_.Add({{"service", std::string(service)}})
      .Increment(static_cast<double>(tokens));
}

void Metrics::CountRetry(std::string_view service) {
  retries_.Add({{"service", std::string(service)}}).Increment();
}

void Metrics::CountDroppedEvents(std::string_view reason, uint64_t events) {
  dropped_events_.Add({{"reason", std::string(reason)}})
      .Increment(static_cast<double>(events));
}

void Metrics::ObserveFirstToken(std::string_view service, Duration latency) {
  first_token_.Add({{"service", std::string(service)}}, FirstTokenBuckets())
      .Observe(Seconds(latency));
}

void Metrics::ObserveHold(Duration latency) {
  hold_.Add({}, HoldBuckets()).Observe(Seconds(latency));
}

void Metrics::SetTotal(const std::string& name, const std::string& label,
                       double value) {
  BuildGauge()
      .Name("oleander_" + name)
      .Help("Copied from its part when it is served.")
      .Register(*registry_)
      .Add({{"class", label}})
      .Set(value);
}

std::string Metrics::Text() const {
  return prometheus::TextSerializer().Serialize(registry_->Collect());
}

}  // namespace oleander::node
