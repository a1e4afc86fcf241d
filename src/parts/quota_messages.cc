#include "oleander/quota_messages.h"

#include <xxhash.h>

namespace oleander {
namespace {

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

size_t QuotaGroupOf(const WorkspaceId& workspace) {
  const std::string& name = workspace.value();
  return XXH64(name.data(), name.size(), 0) % kQuotaGroups;
}

double QuotaBound::UsedOf(const WorkspaceQuota& quota) const {
  return (quota.per_s * Seconds(window) + quota.burst) *
             (1 + overage * used_overage) +
         slack * used_slack;
}

double QuotaBound::RateOf(const WorkspaceQuota& quota) const {
  return UsedOf(quota) * (1 - depth_share) / Seconds(window + max_send_delay);
}

double QuotaBound::DepthOf(const WorkspaceQuota& quota) const {
  return UsedOf(quota) * depth_share;
}

double QuotaCost(const WorkspaceQuota& quota,
                 std::optional<int64_t> prompt_tokens,
                 int64_t max_output_tokens) {
  if (!quota.in_tokens) {
    return 1;
  }
  return prompt_tokens ? static_cast<double>(*prompt_tokens + max_output_tokens)
                       : quota.plain_tokens;
}

}  // namespace oleander
