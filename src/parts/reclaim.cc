#include "oleander/reclaim.h"

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <utility>

namespace oleander {
namespace {

// The exports over one link. They run one after another, each at most at the
// lane's rate.
struct Lane {
  double bytes_per_second = 0;
  Duration busy_until{};
};

// The target and the time of a scheduled export.
struct ExportSlot {
  size_t target = 0;
  Duration starts{};
  Duration ends{};
};

// Rounds up, so that an export never ends before its last byte.
Duration TransferTime(int64_t bytes, double bytes_per_second) {
  const double seconds = static_cast<double>(bytes) / bytes_per_second;
  return std::chrono::duration_cast<Duration>(
             std::chrono::duration<double>(seconds)) +
         Duration(1);
}

// Tracks the link time and the target memory that the exports planned so far
// leave.
class ExportSchedule {
 public:
  explicit ExportSchedule(const ReclaimNotice& notice)
      : notice_(&notice),
        deadline_(notice.until_removal - notice.safety_margin) {
    free_tokens_.reserve(notice.targets.size());
    for (const ReclaimTarget& target : notice.targets) {
      free_tokens_.push_back(target.free_kv_tokens);
    }
    DivideServerRate();
  }

  // Schedules the export to the target where it ends first. Returns nothing if
  // no target can take it in time.
  std::optional<ExportSlot> Schedule(const RunningRequest& request) {
    std::optional<ExportSlot> best;
    for (size_t i = 0; i < notice_->targets.size(); ++i) {
      const std::optional<ExportSlot> slot = TryTarget(request, i);
      if (slot.has_value() && (!best.has_value() || IsBetter(*slot, *best))) {
        best = slot;
      }
    }
    if (best.has_value()) {
      LaneOf(best->target).busy_until = best->ends;
      free_tokens_[best->target] -= request.cached_tokens;
    }
    return best;
  }

 private:
  // Divides the server's export rate over the links, slowest link first: each
  // gets its own rate as far as the server's rate suffices, and the fastest
  // gets the remainder. All lanes can then run concurrently.
  void DivideServerRate() {
    for (const ReclaimTarget& target : notice_->targets) {
      double& rate = lanes_[target.link_group].bytes_per_second;
      rate = std::max(rate, target.bytes_per_second);
    }
    for (const LinkShare& link : notice_->links) {
      const auto lane = lanes_.find(link.link_group);
      if (lane != lanes_.end()) {
        double& rate = lane->second.bytes_per_second;
        rate = std::min(rate, link.bytes_per_second);
      }
    }
    double remaining = notice_->export_bytes_per_second;
    std::vector<Lane*> by_rate;
    by_rate.reserve(lanes_.size());
    for (auto& [group, lane] : lanes_) {
      by_rate.push_back(&lane);
    }
    std::ranges::sort(by_rate, {}, &Lane::bytes_per_second);
    for (Lane* lane : by_rate) {
      lane->bytes_per_second = std::min(lane->bytes_per_second, remaining);
      remaining -= lane->bytes_per_second;
    }
  }

  std::optional<ExportSlot> TryTarget(const RunningRequest& request,
                                      size_t index) {
    const ReclaimTarget& target = notice_->targets[index];
    const Lane& lane = LaneOf(index);
    const double rate =
        std::min(lane.bytes_per_second, target.bytes_per_second);
    if (free_tokens_[index] < request.cached_tokens || rate <= 0) {
      return std::nullopt;
    }
    const Duration ends =
        lane.busy_until + TransferTime(request.kv_bytes, rate);
    if (ends > deadline_) {
      return std::nullopt;
    }
    return ExportSlot{.target = index, .starts = lane.busy_until, .ends = ends};
  }

  // Returns true if `a` ends earlier, or at the same time on a target with less
  // free memory, so that large free space remains for large caches.
  bool IsBetter(const ExportSlot& a, const ExportSlot& b) const {
    if (a.ends != b.ends) {
      return a.ends < b.ends;
    }
    return free_tokens_[a.target] < free_tokens_[b.target];
  }

  Lane& LaneOf(size_t target) {
    return lanes_[notice_->targets[target].link_group];
  }

  const ReclaimNotice* notice_;
  Duration deadline_;
  std::vector<int64_t> free_tokens_;
  std::map<int, Lane> lanes_;
};

bool FinishesInTime(const ReclaimNotice& notice,
                    const RunningRequest& request) {
  return request.expected_to_finish <=
         notice.until_removal - notice.safety_margin;
}

void AddStep(ReclaimPlan& plan, ReclaimStep step) {
  plan.recomputed_tokens += step.recomputed_tokens;
  plan.steps.push_back(std::move(step));
}

ReclaimStep ResumeStep(const RunningRequest& request) {
  return {.attempt = request.attempt,
          .choice = ReclaimChoice::kResume,
          .target = {},
          .starts = {},
          .ends = {},
          .recomputed_tokens = ResumeCost(request)};
}

// Exports the requests that fit, in the given order; the others resume.
ReclaimPlan ExportInOrder(const ReclaimNotice& notice,
                          const std::vector<const RunningRequest*>& order) {
  ReclaimPlan plan;
  ExportSchedule schedule(notice);
  std::vector<const RunningRequest*> remaining;
  for (const RunningRequest* request : order) {
    const std::optional<ExportSlot> slot = schedule.Schedule(*request);
    if (!slot.has_value()) {
      remaining.push_back(request);
      continue;
    }
    plan.exported_bytes += request->kv_bytes;
    AddStep(plan, {.attempt = request->attempt,
                   .choice = ReclaimChoice::kExport,
                   .target = notice.targets[slot->target].server,
                   .starts = slot->starts,
                   .ends = slot->ends,
                   .recomputed_tokens = 0});
  }
  for (const RunningRequest* request : remaining) {
    AddStep(plan, ResumeStep(*request));
  }
  return plan;
}

double SavedPerByte(const RunningRequest* request) {
  return static_cast<double>(ResumeCost(*request)) /
         static_cast<double>(std::max<int64_t>(1, request->kv_bytes));
}

int64_t Saved(const RunningRequest* request) { return ResumeCost(*request); }

// Several orders are tried and the best plan is used. Ordering by tokens saved
// per byte is near the optimum if each cache takes a small part of the notice;
// ordering by tokens saved is better if one large cache fills it.
using Order = std::vector<const RunningRequest*>;

// Breaks ties by arrival: the requests are in one array, so addresses compare
// in order of arrival.
template <typename Value>
Order ByDescending(Order order, Value value) {
  std::ranges::sort(order, [&](const auto* a, const auto* b) {
    const auto value_a = value(a);
    const auto value_b = value(b);
    return value_a != value_b ? value_a > value_b : a < b;
  });
  return order;
}

Order ByDensity(Order order) {
  return ByDescending(std::move(order), SavedPerByte);
}

Order BySaving(Order order) { return ByDescending(std::move(order), Saved); }

Order ByArrival(Order order) { return order; }

// Orders by tokens saved per byte, but moves the first request that didn't fit
// to the front.
Order ByDensityWithFirstMissAhead(const ReclaimNotice& notice, Order order) {
  order = ByDensity(std::move(order));
  ExportSchedule schedule(notice);
  const auto first_miss = std::ranges::find_if(order, [&](const auto* request) {
    return !schedule.Schedule(*request).has_value();
  });
  if (first_miss != order.end()) {
    std::rotate(order.begin(), first_miss, first_miss + 1);
  }
  return order;
}

ReclaimPlan BestExports(const ReclaimNotice& notice, const Order& candidates) {
  const std::array<Order, 4> orders = {
      ByDensity(candidates), BySaving(candidates),
      ByDensityWithFirstMissAhead(notice, candidates), ByArrival(candidates)};
  ReclaimPlan best = ExportInOrder(notice, orders.front());
  for (const Order& order : orders) {
    ReclaimPlan plan = ExportInOrder(notice, order);
    if (plan.recomputed_tokens < best.recomputed_tokens) {
      best = std::move(plan);
    }
  }
  return best;
}

}  // namespace

int64_t ResumeCost(const RunningRequest& request) {
  return std::max<int64_t>(0, request.cached_tokens - request.cached_elsewhere);
}

ReclaimPlan PlanReclaim(const ReclaimNotice& notice,
                        std::span<const RunningRequest> requests) {
  Order candidates;
  std::vector<const RunningRequest*> cached_elsewhere;
  ReclaimPlan finishing;
  for (const RunningRequest& request : requests) {
    if (FinishesInTime(notice, request)) {
      AddStep(finishing, {.attempt = request.attempt,
                          .choice = ReclaimChoice::kFinish,
                          .target = {},
                          .starts = {},
                          .ends = {},
                          .recomputed_tokens = 0});
    } else if (ResumeCost(request) == 0) {
      cached_elsewhere.push_back(&request);
    } else {
      candidates.push_back(&request);
    }
  }
  ReclaimPlan plan = BestExports(notice, candidates);
  for (const RunningRequest* request : cached_elsewhere) {
    AddStep(plan, ResumeStep(*request));
  }
  std::ranges::move(finishing.steps, std::back_inserter(plan.steps));
  return plan;
}

ReclaimPlan PlanAlwaysResume(const ReclaimNotice& /*notice*/,
                             std::span<const RunningRequest> requests) {
  ReclaimPlan plan;
  for (const RunningRequest& request : requests) {
    AddStep(plan, ResumeStep(request));
  }
  return plan;
}

ReclaimPlan PlanExportInOrder(const ReclaimNotice& notice,
                              std::span<const RunningRequest> requests) {
  Order order;
  for (const RunningRequest& request : requests) {
    order.push_back(&request);
  }
  return ExportInOrder(notice, order);
}

}  // namespace oleander
