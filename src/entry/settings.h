// The settings of an entry instance on a platform that lists backend servers
// and holds the operators' configuration in its store.
//
// docs/operators/platform.md describes every field.
#ifndef OLEANDER_ENTRY_SETTINGS_H_
#define OLEANDER_ENTRY_SETTINGS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "io/log.h"
#include "oleander/types.h"

namespace oleander::entry {

struct Endpoint {
  std::string address;  // An IP number.
  uint16_t port = 0;

  bool operator==(const Endpoint&) const = default;
};

// What operators promise their callers; each binds all instances together.
struct Bounds {
  Duration revoke{};  // A withdrawn credential stops working; zero: no bound.
  Duration
      drain_grace{};  // From the signal to stop until the process is ended.
  double retry_share = 0;    // Further attempts for each call of a service.
  double retry_slack = 0;    // Beyond the share, within a window.
  Duration quota_window{};   // Over which a quota is counted.
  double quota_overage = 0;  // What may pass beyond a quota's rate, as a share.
  double quota_slack = 0;    // What may pass beyond its burst.
  Duration lease{};  // Least time between two holders' turns of one duty.
  Duration usage_window{};
  Duration usage_late{};  // When a window's report is due, after its end.
};

struct EntryLimits {
  size_t memory_bytes = 0;
  double cores = 1;  // The processor's share.
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
  uint16_t metrics_port = 0;
  EntryLimits limits;
  Bounds bounds;
  // The whole deployment starts for the first time, not only this process.
  bool first_start = false;
  io::LogLevel log_level = io::LogLevel::kInfo;
};

// Reads and checks every field; the error lists all faults with file, path and
// value.
absl::StatusOr<EntrySettings> ParseEntrySettings(std::string_view text,
                                                 std::string_view source);

}  // namespace oleander::entry

#endif  // OLEANDER_ENTRY_SETTINGS_H_
