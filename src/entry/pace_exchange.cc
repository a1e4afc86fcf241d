#include "entry/pace_exchange.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <iterator>

namespace oleander::entry {
namespace {

// Verdicts in one message. The readers are asked in turn, so three messages
// come while a verdict halves.
constexpr size_t kMaxVerdicts = 12;
// A collector's verdicts are used for several replies.
constexpr Duration kVerdictPeriod = std::chrono::milliseconds(200);
// Failure domains with a collector; deployments have fewer.
constexpr size_t kMaxDomains = 64;
// Logarithms and shares are sent in hundredths.
constexpr double kHundredths = 100;
constexpr double kMaxSentCalls = 100'000;
// Readers told lately; there are three at a time.
constexpr size_t kMaxReadersTold = 16;

int32_t Hundredths(double value) {
  return static_cast<int32_t>(std::lround(value * kHundredths));
}

void WriteVerdicts(const std::vector<PaceVerdict>& verdicts, Duration kept,
                   entrywire::ServerPaceNews& wire) {
  for (const PaceVerdict& verdict : verdicts) {
    wire.add_runs(verdict.run);
    wire.add_slowness_logs(Hundredths(verdict.log_slowness));
    wire.add_limit_percents(
        static_cast<uint32_t>(Hundredths(verdict.limit_share)));
    wire.add_beyond_logs(static_cast<uint32_t>(
        std::max(0, Hundredths(verdict.log_slowness_beyond))));
    wire.add_weights(static_cast<uint32_t>(std::lround(verdict.weight)));
    wire.add_ages_ms(static_cast<uint32_t>(
        std::chrono::ceil<std::chrono::milliseconds>(verdict.age + kept)
            .count()));
  }
}

// If the lists differ in length, the excess entries are ignored.
void ReadVerdicts(Time now, const entrywire::ServerPaceNews& wire,
                  ServerPace& pace) {
  const int count = std::min(
      {wire.runs_size(), wire.slowness_logs_size(), wire.limit_percents_size(),
       wire.beyond_logs_size(), wire.weights_size(), wire.ages_ms_size(),
       static_cast<int>(kMaxVerdicts)});
  for (int i = 0; i < count; ++i) {
    pace.OnVerdict(now,
                   {.run = wire.runs(i),
                    .log_slowness = wire.slowness_logs(i) / kHundredths,
                    .limit_share = wire.limit_percents(i) / kHundredths,
                    .log_slowness_beyond = wire.beyond_logs(i) / kHundredths,
                    .weight = static_cast<double>(wire.weights(i)),
                    .age = std::chrono::milliseconds(wire.ages_ms(i))});
  }
}

void WriteSamples(const std::vector<PaceReport>& samples,
                  entrywire::ServerPaceNews& wire) {
  for (const PaceReport& sample : samples) {
    wire.add_sample_runs(sample.run);
    wire.add_sample_calls(static_cast<uint32_t>(
        std::lround(std::clamp(sample.calls, 1.0, kMaxSentCalls))));
    wire.add_sample_logs(Hundredths(sample.log_ratio));
  }
}

void ReadSamples(Time now, const entrywire::ServerPaceNews& wire,
                 ServerPace& pace) {
  const int count =
      std::min({wire.sample_runs_size(), wire.sample_calls_size(),
                wire.sample_logs_size(),
                static_cast<int>(ServerPaceOptions().max_reported_samples)});
  for (int i = 0; i < count; ++i) {
    pace.OnReport(now, {.run = wire.sample_runs(i),
                        .calls = static_cast<double>(wire.sample_calls(i)),
                        .log_ratio = wire.sample_logs(i) / kHundredths});
  }
}

std::vector<const ListedServer*> PointersTo(
    const std::vector<ListedServer>& servers) {
  std::vector<const ListedServer*> pointers;
  pointers.reserve(servers.size());
  std::ranges::transform(servers, std::back_inserter(pointers),
                         [](const ListedServer& server) { return &server; });
  return pointers;
}

}  // namespace

void PaceExchange::SetServers(const std::vector<const ListedServer*>& ready) {
  servers_.clear();
  std::ranges::transform(ready, std::back_inserter(servers_),
                         [](const ListedServer* server) -> const ListedServer& {
                           return *server;
                         });
  for (auto& [domain, collector] : collectors_) {
    collector.pace.SetServers(ready);
  }
}

PaceExchange::Collector* PaceExchange::CollectorOf(const DomainId& domain) {
  const auto known = collectors_.find(domain);
  if (known != collectors_.end()) {
    return &known->second;
  }
  if (collectors_.size() >= kMaxDomains) {
    return nullptr;
  }
  Collector& added = collectors_[domain];
  added.pace.SetServers(PointersTo(servers_));
  return &added;
}

void PaceExchange::WriteQuery(Time now, const InstanceId& reader, bool places,
                              entrywire::ServerPaceNews& wire) {
  if (told_until_.size() >= kMaxReadersTold) {
    told_until_.clear();
  }
  Time& told_until = told_until_[reader];
  wire.set_domain(placement_.location().domain.value());
  WriteSamples(placement_.pace().SamplesAfter(now, told_until), wire);
  told_until = now;
  if (places) {
    WriteVerdicts(placement_.pace().OwnVerdicts(now, kMaxVerdicts),
                  Duration::zero(), wire);
  }
}

void PaceExchange::Reply(Time now, const entrywire::ServerPaceNews& query,
                         entrywire::ServerPaceNews& reply) {
  Collector* collector = CollectorOf(DomainId(query.domain()));
  if (query.domain().empty() || collector == nullptr) {
    return;
  }
  ReadSamples(now, query, collector->pace);
  if (query.runs_size() > 0) {
    for (auto& [domain, known] : collectors_) {
      ReadVerdicts(now, query, known.pace);
    }
  }
  if (now - collector->verdicts_at >= kVerdictPeriod) {
    collector->verdicts = collector->pace.Verdicts(now, kMaxVerdicts);
    collector->verdicts_at = now;
  }
  WriteVerdicts(collector->verdicts, now - collector->verdicts_at, reply);
}

void PaceExchange::OnReply(Time now, const entrywire::ServerPaceNews& reply) {
  ReadVerdicts(now, reply, placement_.pace());
}

void PaceExchange::ReplyToSelf(Time now, const InstanceId& self, bool places) {
  entrywire::ServerPaceNews query;
  WriteQuery(now, self, places, query);
  entrywire::ServerPaceNews reply;
  Reply(now, query, reply);
  OnReply(now, reply);
}

std::vector<PaceChange> PaceExchange::TakeChanges(Time now, size_t max) {
  std::vector<PaceChange> changes = placement_.pace().TakeChanges(now, max);
  for (auto& [domain, collector] : collectors_) {
    std::ranges::copy(collector.pace.TakeChanges(now, max - changes.size()),
                      std::back_inserter(changes));
  }
  return changes;
}

}  // namespace oleander::entry
