// What instances say to each other about workspaces' quotas.
//
// Workspaces are divided into groups by the hash of their name; each group has
// one allocator at a time, which the others ask. An ask and its answer concern
// one group.
#ifndef OLEANDER_QUOTA_MESSAGES_H_
#define OLEANDER_QUOTA_MESSAGES_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "oleander/serving_config.h"
#include "oleander/types.h"

namespace oleander {

// Enough that one workspace's calls and its neighbours' load no instance with
// more than an eighth of the questions; few enough that an instance's word to
// each of them is cheap.
inline constexpr size_t kQuotaGroups = 8;

// The group of a workspace, below kQuotaGroups.
size_t QuotaGroupOf(const WorkspaceId& workspace);

struct QuotaRequestItem {
  WorkspaceId workspace;
  double spent = 0;                 // Passed already, and not told before.
  std::vector<double> wanted = {};  // Costs of calls that wait, oldest first.
};

struct QuotaRequest {
  size_t group = 0;
  uint64_t round = 0;    // Repeated by the answer; 0 only for a probe.
  bool leaving = false;  // The sender asks another allocator from now on.
  std::vector<QuotaRequestItem> items = {};
};

struct QuotaGrantItem {
  WorkspaceId workspace;
  // For each call that waits when to come back; zero: it passes.
  std::vector<Duration> waits = {};
};

struct QuotaGrant {
  size_t group = 0;
  uint64_t round =
      0;  // 0: no answer, but news of what has become nearly_exhausted.
  bool retired = false;  // The sender allocates no more.
  std::vector<QuotaGrantItem> items = {};
  // Workspaces of the group of which little is left, so that calls must be
  // asked for before they pass. An answer names all of them.
  std::vector<WorkspaceId> nearly_exhausted = {};
};

// The operators' bound on what passes of a quota, and how it is used.
struct QuotaBound {
  // In any `window` at most (rate x window + burst) x (1 + overage) + slack
  // passes.
  Duration window = std::chrono::seconds(8);
  double overage = 0;
  double slack = 0;
  // The parts of overage and slack that are used; the rest covers calls that
  // pass before they are told, and the last call, which may take out more than
  // is left.
  double used_overage = 0.9;
  double used_slack = 0.8;
  // How much of the bound may pass at once.
  double depth_share = 0.12;
  // A call reaches its server at most so long after it was granted: the wait
  // for a connection, and what a second server takes.
  Duration max_send_delay = std::chrono::milliseconds(250);

  // What a bucket fills with a second, and what it holds, for a quota.
  double RateOf(const WorkspaceQuota& quota) const;
  double DepthOf(const WorkspaceQuota& quota) const;
  // What may pass in a window, as far as it is used.
  double UsedOf(const WorkspaceQuota& quota) const;
};

// What a call takes out of a quota.
double QuotaCost(const WorkspaceQuota& quota,
                 std::optional<int64_t> prompt_tokens,
                 int64_t max_output_tokens);

}  // namespace oleander

#endif  // OLEANDER_QUOTA_MESSAGES_H_
