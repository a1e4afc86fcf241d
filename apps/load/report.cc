#include "load/report.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <set>

namespace oleander::load {
namespace {

using Json = nlohmann::json;
using Milliseconds = std::chrono::duration<double, std::milli>;
using Seconds = std::chrono::duration<double>;

constexpr double kMedian = 0.5;
constexpr double kP95 = 0.95;
constexpr double kP99 = 0.99;

double ToMs(Duration duration) { return Milliseconds(duration).count(); }

template <typename Condition>
int64_t Count(const Operations& operations, Condition condition) {
  return std::ranges::count_if(operations, [&](const auto& operation) {
    return condition(operation->result());
  });
}

int64_t CountOutcome(const Operations& operations, Outcome outcome) {
  return Count(operations,
               [&](const auto& result) { return result.outcome == outcome; });
}

std::vector<double> FirstTokens(const Operations& operations) {
  std::vector<double> samples;
  for (const auto& operation : operations) {
    const OperationResult& result = operation->result();
    if (result.kind == OperationKind::kChatStream &&
        result.first_token >= Duration::zero()) {
      samples.push_back(ToMs(result.first_token));
    }
  }
  return samples;
}

std::vector<double> TokenGaps(const Operations& operations) {
  std::vector<double> samples;
  for (const auto& operation : operations) {
    std::ranges::copy(operation->result().token_gaps_ms,
                      std::back_inserter(samples));
  }
  return samples;
}

std::vector<double> EndTimes(const Operations& operations, Outcome outcome) {
  std::vector<double> samples;
  for (const auto& operation : operations) {
    if (operation->result().outcome == outcome) {
      samples.push_back(ToMs(operation->result().end));
    }
  }
  return samples;
}

bool WithinTarget(const OperationResult& result, const Workload& workload) {
  if (result.outcome != Outcome::kAnswered) {
    return false;
  }
  return result.kind != OperationKind::kChatStream ||
         result.first_token <= workload.first_token_target;
}

void AddWorkspaces(const Operations& operations, Json& figures) {
  std::set<std::string> names;
  for (const auto& operation : operations) {
    names.insert(operation->result().workspace);
  }
  Json refused = Json::object();
  for (const std::string& name : names) {
    refused[name] = Count(operations, [&](const OperationResult& result) {
      return result.workspace == name && result.outcome == Outcome::kRefused;
    });
  }
  figures["refused_by_workspace"] = std::move(refused);
}

void AddLatencies(const Operations& operations, Json& figures) {
  const auto first = FirstTokens(operations);
  const auto gaps = TokenGaps(operations);
  const auto refusals = EndTimes(operations, Outcome::kRefused);
  figures["ttft_p50_ms"] = Percentile(first, kMedian);
  figures["ttft_p95_ms"] = Percentile(first, kP95);
  figures["ttft_p99_ms"] = Percentile(first, kP99);
  figures["itl_p50_ms"] = Percentile(gaps, kMedian);
  figures["itl_p95_ms"] = Percentile(gaps, kP95);
  figures["itl_max_ms"] = Percentile(gaps, 1);
  figures["refusal_p99_ms"] = Percentile(refusals, kP99);
}

}  // namespace

double Percentile(std::vector<double> samples, double share) {
  if (samples.empty()) {
    return 0;
  }
  const auto rank = static_cast<size_t>(
      std::ceil(share * static_cast<double>(samples.size())));
  const auto nth =
      samples.begin() + static_cast<ptrdiff_t>(std::max<size_t>(rank, 1) - 1);
  std::ranges::nth_element(samples, nth);
  return *nth;
}

Json Figures(const Operations& operations, const Workload& workload,
             Duration run_time) {
  const auto sum = [&](auto member) {
    int64_t total = 0;
    for (const auto& operation : operations) {
      total += operation->result().*member;
    }
    return total;
  };
  const auto good = static_cast<double>(Count(
      operations, [&](const auto& r) { return WithinTarget(r, workload); }));
  Json figures = {
      {"requests", operations.size()},
      {"accepted", Count(operations, [](const auto& r) { return r.accepted; })},
      {"answered", CountOutcome(operations, Outcome::kAnswered)},
      {"refused", CountOutcome(operations, Outcome::kRefused)},
      {"unknown", CountOutcome(operations, Outcome::kUnknown)},
      {"lost", CountOutcome(operations, Outcome::kLost) +
                   CountOutcome(operations, Outcome::kOpen)},
      {"wrong_answer", CountOutcome(operations, Outcome::kWrong)},
      {"ran_twice_seen",
       Count(operations, [](const auto& r) { return r.ran_twice; })},
      {"stale_reads",
       Count(operations, [](const auto& r) { return r.stale_read; })},
      {"moved", sum(&OperationResult::moved)},
      {"reconnects", sum(&OperationResult::reconnects)},
      {"tokens", sum(&OperationResult::tokens)},
      {"goodput", good / std::max(0.001, Seconds(run_time).count())}};
  AddLatencies(operations, figures);
  AddWorkspaces(operations, figures);
  return figures;
}

Json Results(const Operations& operations) {
  Json results = Json::array();
  for (const auto& operation : operations) {
    const OperationResult& r = operation->result();
    results.push_back({{"kind", KindName(r.kind)},
                       {"workspace", r.workspace},
                       {"outcome", OutcomeName(r.outcome)},
                       {"accepted", r.accepted},
                       {"request", r.request_id},
                       {"prompt", r.prompt_hash},
                       {"marker", r.marker},
                       {"code", r.code},
                       {"detail", r.detail},
                       {"retry_after_ms", r.retry_after_ms},
                       {"intended_ms", ToMs(r.intended)},
                       {"first_token_ms", ToMs(r.first_token)},
                       {"end_ms", ToMs(r.end)},
                       {"reconnects", r.reconnects},
                       {"moved", r.moved},
                       {"tokens", r.tokens}});
  }
  return results;
}

std::string Table(const Operations& operations) {
  std::string table = fmt::format(
      "{:<20}{:>9}{:>9}{:>9}{:>9}{:>7}{:>7}{:>11}{:>11}\n", "kind", "requests",
      "answered", "refused", "unknown", "lost", "wrong", "p50 ms", "p95 ms");
  for (int kind = 0; kind < kOperationKinds; ++kind) {
    const auto is_kind = [&](const OperationResult& result) {
      return result.kind == static_cast<OperationKind>(kind);
    };
    const auto count = [&](Outcome outcome) {
      return Count(operations, [&](const OperationResult& result) {
        return is_kind(result) && result.outcome == outcome;
      });
    };
    std::vector<double> ends;
    for (const auto& operation : operations) {
      if (is_kind(operation->result()) &&
          operation->result().outcome == Outcome::kAnswered) {
        ends.push_back(ToMs(operation->result().end));
      }
    }
    const int64_t all = Count(operations, is_kind);
    if (all > 0) {
      table += fmt::format(
          "{:<20}{:>9}{:>9}{:>9}{:>9}{:>7}{:>7}{:>11.1f}{:>11.1f}\n",
          KindName(static_cast<OperationKind>(kind)), all,
          count(Outcome::kAnswered), count(Outcome::kRefused),
          count(Outcome::kUnknown),
          count(Outcome::kLost) + count(Outcome::kOpen), count(Outcome::kWrong),
          Percentile(ends, kMedian), Percentile(ends, kP95));
    }
  }
  return table;
}

}  // namespace oleander::load
