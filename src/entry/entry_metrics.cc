#include "entry/entry_metrics.h"

#include <prometheus/text_serializer.h>

namespace oleander::entry {
namespace {

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::BuildHistogram;

// Bucket bounds in seconds, dense around the latency objectives.
const prometheus::Histogram::BucketBoundaries& LatencyBuckets() {
  static const prometheus::Histogram::BucketBoundaries buckets = {
      0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 1, 2, 5, 15};
  return buckets;
}

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

prometheus::Family<prometheus::Counter>& NewCounters(
    prometheus::Registry& registry, const char* name, const char* help) {
  return BuildCounter().Name(name).Help(help).Register(registry);
}

prometheus::Family<prometheus::Histogram>& NewHistograms(
    prometheus::Registry& registry, const char* name, const char* help) {
  return BuildHistogram().Name(name).Help(help).Register(registry);
}

prometheus::Gauge& NewGauge(prometheus::Registry& registry, const char* name,
                            const char* help) {
  return BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

std::string Outcome(bool ok) { return ok ? "ok" : "failed"; }

}  // namespace

EntryMetrics::EntryMetrics()
    : registry_(std::make_shared<prometheus::Registry>()),
      answers_(NewCounters(*registry_, "oleander_entry_answers_total",
                           "Final answers by service and result code.")),
      latency_(NewHistograms(*registry_, "oleander_entry_answer_seconds",
                             "From a request's arrival to its answer's end.")),
      first_event_(
          NewHistograms(*registry_, "oleander_entry_first_event_seconds",
                        "From a request's arrival to its first event.")),
      attempts_(NewCounters(*registry_, "oleander_entry_attempts_total",
                            "Calls sent to backend servers.")),
      resumes_(NewCounters(*registry_, "oleander_entry_resumes_total",
                           "Streams that went on at another server.")),
      unreadable_loads_(
          NewCounters(*registry_, "oleander_entry_unreadable_loads_total",
                      "Answers whose server's load could not be read in "
                      "full.")),
      store_calls_(NewCounters(*registry_, "oleander_entry_store_calls_total",
                               "Calls of the platform's store.")),
      orders_(NewCounters(*registry_, "oleander_entry_duty_calls_total",
                          "Calls that one instance makes for all.")),
      config_bytes_(
          NewCounters(*registry_, "oleander_entry_config_bytes_total",
                      "Bytes of configurations, by where they came from.")),
      config_version_(NewGauge(*registry_, "oleander_entry_config_version",
                               "The configuration in force here.")),
      config_heard_(NewGauge(*registry_, "oleander_entry_config_heard",
                             "The newest configuration known to exist.")),
      servers_(NewGauge(*registry_, "oleander_entry_ready_servers",
                        "Backend servers that may get new work.")),
      slowest_server_(
          NewGauge(*registry_, "oleander_entry_server_slowness_highest",
                   "Learned time of a call at the slowest server, relative to "
                   "the usual time.")),
      fastest_server_(
          NewGauge(*registry_, "oleander_entry_server_slowness_lowest",
                   "Learned time of a call at the fastest server, relative to "
                   "the usual time.")),
      limited_servers_(
          NewGauge(*registry_, "oleander_entry_servers_limited",
                   "Servers with a learned limit below their slots.")),
      told_servers_(
          NewGauge(*registry_, "oleander_entry_servers_told_slow",
                   "Servers whose own figure of their slowness is in use.")),
      suspected_requests_(
          NewGauge(*registry_, "oleander_entry_suspected_requests",
                   "Whole requests that are suspected of crashing servers.")),
      suspected_parts_(
          NewGauge(*registry_, "oleander_entry_suspected_prompt_parts",
                   "Parts of prompts that are suspected of crashing "
                   "servers.")),
      held_body_bytes_(
          NewGauge(*registry_, "oleander_entry_held_body_bytes",
                   "Bytes of the bodies of requests that arrive or are "
                   "open.")),
      relayed_(NewCounters(*registry_, "oleander_entry_relayed_calls_total",
                           "Calls that were handed to a peer, for each peer.")
                   .Add({})),
      cut_off_(NewGauge(*registry_, "oleander_entry_cut_off",
                        "1 while this instance reaches no backend server.")),
      rollout_stage_(
          BuildGauge()
              .Name("oleander_entry_rollout_stage")
              .Help("0 waiting, 1 canary, 2 moving, 3 complete, 4 reverted.")
              .Register(*registry_)),
      rollout_share_(
          BuildGauge()
              .Name("oleander_entry_rollout_share")
              .Help("Share of the calls that begin at the target on trial.")
              .Register(*registry_)),
      rollout_sent_(NewCounters(*registry_, "oleander_entry_rollout_sent_total",
                                "Calls sent to the target of a roll-out.")),
      rollout_bad_(NewCounters(*registry_, "oleander_entry_rollout_bad_total",
                               "Failures of the target of a roll-out.")) {}

void EntryMetrics::CountAnswer(const ServiceId& service, ResultCode code,
                               Duration latency) {
  answers_
      .Add({{"service", service.value()},
            {"code", std::to_string(static_cast<int>(code))}})
      .Increment();
  LatencyOf(latency_, service).Observe(Seconds(latency));
}

void EntryMetrics::ObserveFirstEvent(const ServiceId& service,
                                     Duration latency) {
  LatencyOf(first_event_, service).Observe(Seconds(latency));
}

void EntryMetrics::CountAttempt(const ServiceId& service) {
  attempts_.Add({{"service", service.value()}}).Increment();
}

void EntryMetrics::CountResume(const ServiceId& service) {
  resumes_.Add({{"service", service.value()}}).Increment();
}

void EntryMetrics::CountUnreadableLoad(const ServiceId& service) {
  unreadable_loads_.Add({{"service", service.value()}}).Increment();
}

void EntryMetrics::CountStoreCall(std::string_view call, bool answered) {
  store_calls_
      .Add({{"call", std::string(call)}, {"outcome", Outcome(answered)}})
      .Increment();
}

void EntryMetrics::CountOrder(std::string_view duty, bool accepted) {
  orders_.Add({{"duty", std::string(duty)}, {"outcome", Outcome(accepted)}})
      .Increment();
}

void EntryMetrics::SetConfigVersion(int64_t version) {
  config_version_.Set(static_cast<double>(version));
}

void EntryMetrics::SetConfigHeard(int64_t version) {
  config_heard_.Set(static_cast<double>(version));
}

void EntryMetrics::CountConfigBytes(std::string_view source, size_t bytes) {
  config_bytes_.Add({{"source", std::string(source)}})
      .Increment(static_cast<double>(bytes));
}

void EntryMetrics::SetServers(size_t ready) {
  servers_.Set(static_cast<double>(ready));
}

void EntryMetrics::SetPace(const PaceSpread& spread) {
  slowest_server_.Set(spread.slowest);
  fastest_server_.Set(spread.fastest);
  limited_servers_.Set(spread.limited);
  told_servers_.Set(spread.told);
}

void EntryMetrics::SetSuspects(size_t requests, size_t prompt_parts) {
  suspected_requests_.Set(static_cast<double>(requests));
  suspected_parts_.Set(static_cast<double>(prompt_parts));
}

void EntryMetrics::SetHeldBodyBytes(size_t bytes) {
  held_body_bytes_.Set(static_cast<double>(bytes));
}

void EntryMetrics::CountRelayed() { relayed_.Increment(); }

void EntryMetrics::SetCutOff(bool cut_off) { cut_off_.Set(cut_off ? 1 : 0); }

void EntryMetrics::SetRollout(const ServiceId& service, RolloutPhase phase,
                              double share) {
  rollout_stage_.Add({{"service", service.value()}})
      .Set(static_cast<double>(phase));
  rollout_share_.Add({{"service", service.value()}}).Set(share);
}

void EntryMetrics::CountRolloutCalls(const ServiceId& service, int64_t sent,
                                     int64_t bad) {
  rollout_sent_.Add({{"service", service.value()}})
      .Increment(static_cast<double>(sent));
  rollout_bad_.Add({{"service", service.value()}})
      .Increment(static_cast<double>(bad));
}

std::string EntryMetrics::Text() const {
  return prometheus::TextSerializer().Serialize(registry_->Collect());
}

prometheus::Histogram& EntryMetrics::LatencyOf(HistogramFamily& family,
                                               const ServiceId& service) {
  return family.Add({{"service", service.value()}}, LatencyBuckets());
}

}  // namespace oleander::entry
