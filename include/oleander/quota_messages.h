// Messages between entry instances about workspace quotas, the quota bound, and
// the cost of a call.
//
// Workspaces are divided into groups by a hash of their name. At any time one
// instance is the allocator of a group: it decides which calls of the group's
// workspaces may pass, and the other instances send it requests. A request and
// its grant concern one group.
#ifndef OLEANDER_QUOTA_MESSAGES_H_
#define OLEANDER_QUOTA_MESSAGES_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "oleander/serving_config.h"
#include "oleander/types.h"

namespace oleander {

// With 8 groups, a busy workspace and the others in its group put at most an
// eighth of all requests on one instance, and the regular message that each
// instance sends per group remains cheap.
inline constexpr size_t kQuotaGroups = 8;

// Returns the group of a workspace, a number below kQuotaGroups.
size_t QuotaGroupOf(const WorkspaceId& workspace);

// The reports and requests for one workspace.
struct QuotaRequestItem {
  WorkspaceId workspace;
  // Cost that passed and wasn't reported yet; may be negative after refunds.
  double spent = 0;
  std::vector<double> wanted = {};  // Costs of waiting calls, oldest first.
};

struct QuotaRequest {
  size_t group = 0;
  uint64_t round = 0;    // Returned in the grant; 0 only for a probe.
  bool leaving = false;  // The sender uses another allocator from now on.
  std::vector<QuotaRequestItem> items = {};
};

struct QuotaGrantItem {
  WorkspaceId workspace;
  // For each waiting call the time after which to request it again; zero lets
  // it pass.
  std::vector<Duration> waits = {};
};

struct QuotaGrant {
  size_t group = 0;
  // The request's round. 0: not an answer, but a notice of workspaces that have
  // become nearly exhausted.
  uint64_t round = 0;
  bool retired = false;  // The sender is no longer an allocator.
  std::vector<QuotaGrantItem> items = {};
  // Workspaces of the group whose buckets are nearly exhausted: their calls
  // must be granted before they pass. An answer lists all of them.
  std::vector<WorkspaceId> nearly_exhausted = {};
};

// The operators' bound on the cost that may pass under a quota, and the
// parameters that keep the allocator within it.
struct QuotaBound {
  // In any `window`, at most (rate x window + burst) x (1 + overage) + slack
  // may pass.
  Duration window = std::chrono::seconds(8);
  double overage = 0;
  double slack = 0;
  // The fractions of overage and slack that the allocator uses. The remainder
  // covers calls that pass before they are reported, and the last call, which
  // may take out more than is left.
  double used_overage = 0.9;
  double used_slack = 0.8;
  // The fraction of the used bound that may pass at once.
  double depth_share = 0.12;
  // The longest time from a grant until the call reaches its server: the wait
  // for a connection, and the attempt at a second server.
  Duration max_send_delay = std::chrono::milliseconds(250);

  // Return the rate at which a bucket fills, per second, and its capacity.
  double RateOf(const WorkspaceQuota& quota) const;
  double DepthOf(const WorkspaceQuota& quota) const;
  // Returns the cost that may pass in a window, within the used part of the
  // bound.
  double UsedOf(const WorkspaceQuota& quota) const;
};

// Returns the cost of a call under `quota`: 1 if the quota counts calls,
// else its tokens, or `plain_tokens` if `prompt_tokens` is missing.
double QuotaCost(const WorkspaceQuota& quota,
                 std::optional<int64_t> prompt_tokens,
                 int64_t max_output_tokens);

}  // namespace oleander

#endif  // OLEANDER_QUOTA_MESSAGES_H_
