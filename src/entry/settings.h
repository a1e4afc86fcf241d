// The settings of an entry instance on a platform that lists backend servers
// and holds the operators' configuration in its store.
//
// docs/operators/platform.md describes every field.
#ifndef OLEANDER_ENTRY_SETTINGS_H_
#define OLEANDER_ENTRY_SETTINGS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "io/log.h"
#include "oleander/types.h"

namespace oleander::entry {

struct Endpoint {
  std::string address;  // An IPv4 address.
  uint16_t port = 0;

  bool operator==(const Endpoint&) const = default;
};

// Limits for roll-outs of a version that proves bad.
struct RolloutBounds {
  // Most requests that such a version may get: as a share of its service's
  // requests between the order and the deadline, and beyond that share.
  double exposure_share = 0;
  double exposure_slack = 0;
  // Time from its bad answers, as many as the slack, until it gets no more.
  Duration rollback{};

  bool operator==(const RolloutBounds&) const = default;
};

// Limits that operators guarantee to their callers. Each applies to all
// instances together.
struct Bounds {
  // Time until a revoked credential stops working; zero means no limit.
  Duration revoke{};
  // From the signal to stop until the platform ends the process.
  Duration drain_grace{};
  double retry_share = 0;   // Retries for each call of a service.
  double retry_slack = 0;   // Retries beyond the share, within a window.
  Duration quota_window{};  // Window over which a quota is counted.
  // Cost that may be admitted beyond a quota: as a share of its rate, and
  // beyond its burst.
  double quota_overage = 0;
  double quota_slack = 0;
  // Minimum length of a duty's lease. An instance that gave up or lost a duty
  // waits for twice this long before it acquires the duty again.
  Duration lease{};
  Duration usage_window{};
  Duration usage_late{};  // Latest report of a window, after the window's end.
  // Empty: the deployment has no roll-outs.
  std::optional<RolloutBounds> rollouts;
};

struct EntryLimits {
  size_t memory_bytes = 0;
  double cores = 1;  // Processor share, in cores.
};

struct EntrySettings {
  InstanceId instance;
  Location location;
  std::map<DomainId, RegionId> domains;
  Endpoint callers;
  Endpoint readiness;
  Endpoint store;
  Endpoint duties;
  std::vector<std::string> duty_names;
  uint16_t mesh_port = 0;
  // At which peers relay their calls, on every instance; 0: none are relayed.
  uint16_t relay_port = 0;
  uint16_t metrics_port = 0;
  EntryLimits limits;
  Bounds bounds;
  // Whether the whole deployment starts for the first time, not only this
  // process.
  bool first_start = false;
  // Whether placement follows the learned pace of servers.
  bool learned_pace = true;
  io::LogLevel log_level = io::LogLevel::kInfo;
};

// Reads and validates every field. The error lists all invalid fields with
// file, path and value.
absl::StatusOr<EntrySettings> ParseEntrySettings(std::string_view text,
                                                 std::string_view source);

}  // namespace oleander::entry

#endif  // OLEANDER_ENTRY_SETTINGS_H_
