// Plans how each running request continues when a backend server is reclaimed.
//
// The reclaim notice arrives a few seconds before the server is removed. Each
// request on the server either finishes in time, has its KV cache exported to a
// target server, or resumes on another server, which prefills its prompt and
// output again. The plan minimises the recomputed tokens within the notice and
// the link shares.
//
//   ReclaimPlan plan = PlanReclaim(notice, requests);
//   for (const ReclaimStep& step : plan.steps) { ... }
#ifndef OLEANDER_RECLAIM_H_
#define OLEANDER_RECLAIM_H_

#include <cstdint>
#include <span>
#include <vector>

#include "oleander/streams.h"
#include "oleander/types.h"

namespace oleander {

// A server that can receive exported KV caches.
struct ReclaimTarget {
  ServerId server;
  int64_t free_kv_tokens = 0;
  // Bandwidth limit of exports to this target.
  double bytes_per_second = 0;
  // Targets of one group share one link, such as the link between regions.
  // Group 0 is the local network.
  int link_group = 0;
};

// Bandwidth that all exports over one link may use together.
struct LinkShare {
  int link_group = 0;
  double bytes_per_second = 0;
};

struct ReclaimNotice {
  ServerId server;
  Duration until_removal{};  // Time left until the server is removed.
  Duration safety_margin = std::chrono::milliseconds(300);
  double export_bytes_per_second = 0;  // The reclaimed server's own limit.
  std::vector<ReclaimTarget> targets;
  // Groups that aren't listed have no link limit.
  std::vector<LinkShare> links;
};

// A request that runs on the reclaimed server.
struct RunningRequest {
  AttemptKey attempt;
  // Tokens in its KV cache: prompt and output so far.
  int64_t cached_tokens = 0;
  // Those that another server has in its prefix cache already.
  int64_t cached_elsewhere = 0;
  int64_t kv_bytes = 0;
  // Time until it finishes if it keeps running here.
  Duration expected_to_finish{};
};

// A request finishes on the server, or continues on another one with its KV
// cache (export) or without it (resume).
enum class ReclaimChoice { kFinish, kExport, kResume };

struct ReclaimStep {
  AttemptKey attempt;
  ReclaimChoice choice = ReclaimChoice::kResume;
  ServerId target;  // Target of an export.
  // Start and end of an export, relative to the notice.
  Duration starts{};
  Duration ends{};
  int64_t recomputed_tokens = 0;
};

// Steps in execution order.
struct ReclaimPlan {
  std::vector<ReclaimStep> steps;
  int64_t recomputed_tokens = 0;
  int64_t exported_bytes = 0;
};

// Returns the number of tokens that are recomputed if the request resumes on
// another server by prefill.
int64_t ResumeCost(const RunningRequest& request);

// Returns the plan with the fewest recomputed tokens among several heuristics.
// Requests that finish in time stay; the others are considered for export by
// tokens saved per byte, by tokens saved, and in order of arrival.
ReclaimPlan PlanReclaim(const ReclaimNotice& notice,
                        std::span<const RunningRequest> requests);

// Returns the baseline plan in which every request resumes on another server by
// prefill.
ReclaimPlan PlanAlwaysResume(const ReclaimNotice& notice,
                             std::span<const RunningRequest> requests);

// Returns the baseline plan that exports KV caches in order of arrival while
// the notice lasts and resumes the other requests by prefill.
ReclaimPlan PlanExportInOrder(const ReclaimNotice& notice,
                              std::span<const RunningRequest> requests);

}  // namespace oleander

#endif  // OLEANDER_RECLAIM_H_
