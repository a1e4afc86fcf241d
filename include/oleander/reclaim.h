// What to do with each running request when a backend server is reclaimed.
//
// A notice leaves a few seconds. Each request on the server either finishes in
// time, has its KV cache exported to a target, or resumes elsewhere by
// prefilling its prompt and output again. The plan minimises the tokens that
// are computed again, under the notice and the link's share.
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

// A place to which KV cache can go.
struct ReclaimTarget {
  ServerId server;
  int64_t free_kv_tokens = 0;
  // What the transfer to this target may use, in bytes a second.
  double bytes_per_second = 0;
  // Targets with the same group share one link, such as the one between
  // regions; group 0 is the local network.
  int link_group = 0;
};

// The bytes that all exports over one link may use together.
struct LinkShare {
  int link_group = 0;
  double bytes_per_second = 0;
};

struct ReclaimNotice {
  ServerId server;
  Duration until_removal{};  // Until the server is gone.
  Duration safety_margin = std::chrono::milliseconds(300);
  double export_bytes_per_second = 0;  // The server's own limit.
  std::vector<ReclaimTarget> targets;
  std::vector<LinkShare> links;  // A group that is missing is not limited.
};

// One request that runs on the server.
struct RunningRequest {
  AttemptKey attempt;
  // Tokens in its KV cache: prompt and output so far.
  int64_t cached_tokens = 0;
  // Of these, what another server has in its prefix cache already.
  int64_t cached_elsewhere = 0;
  int64_t kv_bytes = 0;
  Duration expected_to_finish{};  // If it runs on here.
};

enum class ReclaimChoice { kFinish, kExport, kResume };

struct ReclaimStep {
  AttemptKey attempt;
  ReclaimChoice choice = ReclaimChoice::kResume;
  ServerId target;    // Of an export.
  Duration starts{};  // Of an export, from the notice.
  Duration ends{};    // Of an export, from the notice.
  int64_t recomputed_tokens = 0;
};

// Steps in the order in which they are carried out.
struct ReclaimPlan {
  std::vector<ReclaimStep> steps;
  int64_t recomputed_tokens = 0;
  int64_t exported_bytes = 0;
};

// The tokens computed again when the request resumes elsewhere by prefill.
int64_t ResumeCost(const RunningRequest& request);

// The plan with the fewest recomputed tokens that the planner finds: what
// finishes in time stays, and exports are chosen and ordered by tokens saved
// per second of notice and per byte of link.
ReclaimPlan PlanReclaim(const ReclaimNotice& notice,
                        std::span<const RunningRequest> requests);

// Baseline: every request resumes elsewhere by prefill.
ReclaimPlan PlanAlwaysResume(const ReclaimNotice& notice,
                             std::span<const RunningRequest> requests);

// Baseline: KV caches are exported in the order of arrival for as long as the
// notice lasts; the rest resumes.
ReclaimPlan PlanExportInOrder(const ReclaimNotice& notice,
                              std::span<const RunningRequest> requests);

}  // namespace oleander

#endif  // OLEANDER_RECLAIM_H_
