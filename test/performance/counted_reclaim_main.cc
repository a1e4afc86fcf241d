// Counts the tokens that are recomputed when a backend server is reclaimed,
// with the planner and with two baselines. If notice and link suffice to export
// every cache, the planner must recompute nothing. Otherwise it may recompute
// at most half of the better baseline or, if that is less than 105% of a lower
// bound for every plan, at most 105% of that lower bound. It must never be
// worse than a baseline.
#include <fmt/format.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "oleander/reclaim.h"

namespace {

using namespace oleander;
using std::chrono::milliseconds;

constexpr uint64_t kSeeds = 40;
constexpr int64_t kBytesPerToken = 131'072;  // 32 layers, 8 heads, 16 bits.
constexpr double kMaxShareOfBaseline = 0.5;
constexpr double kMaxAboveLeast = 1.05;
constexpr double kInterRegionBytesPerSecond = 30e6 / 8;

class Random {
 public:
  explicit Random(uint64_t seed) : random_(seed) {}
  int64_t Between(int64_t low, int64_t high) {
    return low + static_cast<int64_t>(random_() %
                                      static_cast<uint64_t>(high - low + 1));
  }
  double Share() { return static_cast<double>(Between(0, 1000)) / 1000; }

 private:
  std::mt19937_64 random_;
};

// Mixes short chats and designs, whose prompts share prefixes, with long
// reviews, whose prompts share little.
std::vector<RunningRequest> MakeRequests(Random& random) {
  std::vector<RunningRequest> requests;
  const int64_t count = random.Between(16, 48);
  for (int64_t i = 0; i < count; ++i) {
    const bool review = random.Share() < 0.25;
    RunningRequest request;
    request.attempt = {
        .id = RequestId(fmt::format("r{}", i)), .epoch = 1, .attempt = 1};
    request.cached_tokens =
        review ? random.Between(6'000, 24'000) : random.Between(600, 3'000);
    const double elsewhere =
        review ? 0.1 * random.Share() : 0.5 + 0.5 * random.Share();
    request.cached_elsewhere = static_cast<int64_t>(
        elsewhere * static_cast<double>(request.cached_tokens));
    request.kv_bytes = request.cached_tokens * kBytesPerToken;
    request.expected_to_finish = milliseconds(
        review ? random.Between(20'000, 600'000) : random.Between(200, 12'000));
    requests.push_back(request);
  }
  return requests;
}

int64_t BytesOf(const std::vector<RunningRequest>& requests) {
  int64_t bytes = 0;
  for (const RunningRequest& request : requests) {
    bytes += request.kv_bytes;
  }
  return bytes;
}

// `capacity_share` is the part of all cache bytes that can be exported within
// the notice.
ReclaimNotice MakeNotice(Random& random,
                         const std::vector<RunningRequest>& requests,
                         double capacity_share) {
  ReclaimNotice notice;
  notice.server = ServerId("leaving");
  notice.until_removal = milliseconds(5000);
  const double seconds =
      std::chrono::duration<double>(notice.until_removal - notice.safety_margin)
          .count();
  const double rate =
      capacity_share * static_cast<double>(BytesOf(requests)) / seconds;
  notice.export_bytes_per_second = rate;
  const int64_t targets = random.Between(1, 3);
  for (int64_t i = 0; i < targets; ++i) {
    notice.targets.push_back({.server = ServerId(fmt::format("t{}", i)),
                              .free_kv_tokens = 2'000'000,
                              .bytes_per_second = rate,
                              .link_group = 0});
  }
  return notice;
}

// Returns true if the plan covers each request once and stays within the limits
// of notice, targets and link.
bool IsFeasible(const ReclaimNotice& notice,
                const std::vector<RunningRequest>& requests,
                const ReclaimPlan& plan) {
  std::map<RequestId, const RunningRequest*> by_id;
  for (const RunningRequest& request : requests) {
    by_id[request.attempt.id] = &request;
  }
  std::map<std::string, int64_t> tokens;
  double bytes = 0;
  for (const ReclaimStep& step : plan.steps) {
    const auto found = by_id.find(step.attempt.id);
    if (found == by_id.end()) {
      return false;  // Planned twice, or not among the requests.
    }
    if (step.choice == ReclaimChoice::kExport) {
      tokens[step.target.value()] += found->second->cached_tokens;
      bytes += static_cast<double>(found->second->kv_bytes);
      if (step.ends > notice.until_removal - notice.safety_margin) {
        return false;
      }
    }
    by_id.erase(found);
  }
  const bool targets_hold =
      std::ranges::all_of(notice.targets, [&](const ReclaimTarget& target) {
        return tokens[target.server.value()] <= target.free_kv_tokens;
      });
  const double seconds =
      std::chrono::duration<double>(notice.until_removal - notice.safety_margin)
          .count();
  const double most = notice.export_bytes_per_second * seconds;
  return by_id.empty() && targets_hold && bytes <= most * 1.000001;
}

// Returns a lower bound for every plan, in recomputed tokens: caches may be
// exported in part here.
int64_t LeastPossible(const ReclaimNotice& notice,
                      std::vector<RunningRequest> requests) {
  const Duration usable = notice.until_removal - notice.safety_margin;
  std::erase_if(requests, [&](const RunningRequest& request) {
    return request.expected_to_finish <= usable;
  });
  const auto saved_per_byte = [](const RunningRequest& request) {
    return static_cast<double>(ResumeCost(request)) /
           static_cast<double>(request.kv_bytes);
  };
  std::ranges::sort(requests, std::ranges::greater{}, saved_per_byte);
  double bytes = notice.export_bytes_per_second *
                 std::chrono::duration<double>(usable).count();
  double recomputed = 0;
  for (const RunningRequest& request : requests) {
    const auto size = static_cast<double>(request.kv_bytes);
    const double exported = std::min(bytes, size);
    bytes -= exported;
    recomputed +=
        static_cast<double>(ResumeCost(request)) * (1 - exported / size);
  }
  return static_cast<int64_t>(recomputed);
}

struct Totals {
  int64_t least = 0;
  int64_t planner = 0;
  int64_t resume = 0;
  int64_t in_order = 0;
  int bad_plans = 0;
  // Seeds in which the planner exceeded half of the better baseline.
  int over_half = 0;
};

Totals RunAll(double capacity_share) {
  Totals totals;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Random random(seed);
    const std::vector<RunningRequest> requests = MakeRequests(random);
    const ReclaimNotice notice = MakeNotice(random, requests, capacity_share);
    const ReclaimPlan plan = PlanReclaim(notice, requests);
    const ReclaimPlan resume = PlanAlwaysResume(notice, requests);
    const ReclaimPlan in_order = PlanExportInOrder(notice, requests);
    totals.least += LeastPossible(notice, requests);
    totals.planner += plan.recomputed_tokens;
    totals.resume += resume.recomputed_tokens;
    totals.in_order += in_order.recomputed_tokens;
    totals.bad_plans += IsFeasible(notice, requests, plan) ? 0 : 1;
    const int64_t better =
        std::min(resume.recomputed_tokens, in_order.recomputed_tokens);
    totals.over_half +=
        static_cast<double>(plan.recomputed_tokens) >
                kMaxShareOfBaseline * static_cast<double>(better)
            ? 1
            : 0;
  }
  return totals;
}

bool Check(bool holds, const std::string& what) {
  if (!holds) {
    fmt::print("BROKEN: {}\n", what);
  }
  return holds;
}

// Checks that the plan stays within the narrow link between regions, regardless
// of the tokens that more exports would save.
bool CheckNarrowLink() {
  Random random(99);
  const std::vector<RunningRequest> requests = MakeRequests(random);
  ReclaimNotice notice = MakeNotice(random, requests, 4);
  for (ReclaimTarget& target : notice.targets) {
    target.link_group = 1;
  }
  notice.links = {
      {.link_group = 1, .bytes_per_second = kInterRegionBytesPerSecond / 2}};
  const ReclaimPlan plan = PlanReclaim(notice, requests);
  const double most = kInterRegionBytesPerSecond / 2 * 4.7;
  return Check(static_cast<double>(plan.exported_bytes) <= most,
               fmt::format(
                   "{} bytes exported over a link with a share of {} bytes",
                   plan.exported_bytes, most)) &&
         Check(IsFeasible(notice, requests, plan), "narrow link plan");
}

}  // namespace

int main() {
  bool holds = true;
  fmt::print(
      "share   least  planner  always-resume  export-in-order  of-better  "
      "seeds-over-half\n");
  for (const double capacity_share : {0.3, 0.5, 0.7, 0.85, 1.0, 1.5}) {
    const Totals totals = RunAll(capacity_share);
    const int64_t better = std::min(totals.resume, totals.in_order);
    const double share = better == 0 ? 0.0
                                     : static_cast<double>(totals.planner) /
                                           static_cast<double>(better);
    fmt::print("{:4.2f} {:8} {:8} {:14} {:16} {:10.3f} {:8}\n", capacity_share,
               totals.least, totals.planner, totals.resume, totals.in_order,
               share, totals.over_half);
    holds &= Check(totals.bad_plans == 0,
                   fmt::format("{} plans exceed notice, target or link",
                               totals.bad_plans));
    holds &=
        Check(totals.planner <= better, "the planner is worse than a baseline");
    if (capacity_share >= 1.001) {
      holds &=
          Check(totals.planner == 0,
                "tokens are recomputed although every cache can be exported");
    } else if (kMaxAboveLeast * static_cast<double>(totals.least) <=
               kMaxShareOfBaseline * static_cast<double>(better)) {
      holds &= Check(
          share <= kMaxShareOfBaseline,
          fmt::format("{:.3f} of the better baseline at capacity share {}",
                      share, capacity_share));
    } else {
      holds &= Check(static_cast<double>(totals.planner) <=
                         kMaxAboveLeast * static_cast<double>(totals.least),
                     fmt::format("{} tokens recomputed; the lower bound is {}",
                                 totals.planner, totals.least));
    }
  }
  holds &= CheckNarrowLink();
  return holds ? 0 : 1;
}
