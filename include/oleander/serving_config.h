// The serving configuration set by the operators; one immutable value per
// version.
//
// The adapter of the system that stores the configuration decodes it once; it
// never changes afterwards. Routes are found by host and longest prefix, and
// workspaces by credential, through hash tables instead of a scan.
//
//   auto config = ServingConfig::Create(std::move(parts));
//   const CallRoute* route = config->FindRoute("shop.example", "/orders/7");
//   const Workspace* workspace = config->FindWorkspace(credential);
#ifndef OLEANDER_SERVING_CONFIG_H_
#define OLEANDER_SERVING_CONFIG_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "oleander/types.h"

namespace oleander {

// Whether a call may be sent more than once follows from its kind, and for a
// stream from `resumable`.
enum class CallKind {
  kRepeatable,  // May run any number of times.
  kOnce,        // Runs at most once per request of a caller.
  kStream,      // A stream of events; runs at most once unless resumable.
};

// A service of a route, and its fraction of the route's calls.
struct RouteTarget {
  ServiceId service;
  double weight = 1;

  bool operator==(const RouteTarget&) const = default;
};

struct CallRoute {
  std::string name;
  std::string host;
  std::string prefix;  // Starts and ends with a slash.
  CallKind kind = CallKind::kOnce;
  Duration timeout{};  // The longest time that a caller waits.
  Duration goal{};     // Target time to the answer or a stream's first event.
  Duration max_event_gap{};          // Between two events of a stream.
  int priority = 0;                  // 0 is the most urgent.
  std::vector<RouteTarget> targets;  // At least one.
  int max_attempts = 1;              // Servers that may run one call.
  bool is_public = false;            // No credential is required.
  bool resumable = false;            // A stream may continue at another server.

  // Returns whether a call may be sent again after it may have run.
  bool may_repeat() const {
    return kind == CallKind::kRepeatable ||
           (kind == CallKind::kStream && resumable);
  }

  bool operator==(const CallRoute&) const = default;
};

// The limit of a workspace over all instances together.
struct WorkspaceQuota {
  double per_s = 0;  // Tokens or calls per second; zero is no limit.
  double burst = 0;
  bool in_tokens = false;   // Else in calls.
  double plain_tokens = 1;  // The cost of a call without token counts.
};

struct Workspace {
  WorkspaceId id;
  std::optional<int> priority;  // Overrides the route's.
  WorkspaceQuota quota;
  std::vector<std::string> credentials;
};

// The number of servers that a service may have in one failure domain, and
// their prices.
struct ScalingRule {
  int minimum = 0;
  int maximum = 0;
  Duration boot{};               // From the order to the first request served.
  double reclaimable_price = 1;  // Relative to an on-demand server's price.
  std::map<DomainId, double> domain_prices;  // Per server and second.
};

// The capacity of a model engine.
struct EngineRule {
  int slots = 0;             // Requests in one batch.
  int64_t cache_tokens = 0;  // For running requests and cached prefixes.
};

struct ServiceRule {
  ServiceId id;
  std::string health_path;
  int max_connections = 0;           // Per server, from all instances together.
  std::optional<EngineRule> engine;  // Only for model services.
  std::optional<ScalingRule> scaling;
};

// Limits on the requests of callers.
struct CallerLimits {
  size_t max_header_bytes = 0;
  size_t max_body_bytes = 0;
  Duration header_timeout{};
  Duration idle_timeout{};
};

// A decoded configuration, before it is indexed.
struct ServingConfigParts {
  int64_t version = 0;   // Assigned by the operators.
  int64_t revision = 0;  // Assigned by the store; the higher of two is newer.
  std::vector<CallRoute> routes;
  std::vector<ServiceRule> services;
  std::vector<Workspace> workspaces;
  CallerLimits limits;
};

class ServingConfig {
 public:
  static std::shared_ptr<const ServingConfig> Create(ServingConfigParts parts);

  int64_t version() const { return parts_.version; }
  int64_t revision() const { return parts_.revision; }
  const std::vector<CallRoute>& routes() const { return parts_.routes; }
  const std::vector<ServiceRule>& services() const { return parts_.services; }
  const std::vector<Workspace>& workspaces() const { return parts_.workspaces; }
  const CallerLimits& limits() const { return parts_.limits; }

  // Returns the route of `host` with the longest prefix of `path`; null if
  // there is none.
  const CallRoute* FindRoute(std::string_view host,
                             std::string_view path) const;
  // Returns the route with exactly this host and prefix; null if there is none.
  const CallRoute* RouteAt(std::string_view host,
                           std::string_view prefix) const;
  // Returns the number of routes that differ in host or prefix. Of several with
  // the same ones only the first is in force.
  size_t route_count() const { return routes_.size(); }
  // Returns the workspace that owns `credential`; null if none does.
  const Workspace* FindWorkspace(std::string_view credential) const;
  const ServiceRule* FindService(const ServiceId& service) const;

 private:
  explicit ServingConfig(ServingConfigParts parts);

  ServingConfigParts parts_;
  // Indices into parts_. The key of a route is its host, a space, and its
  // prefix.
  absl::flat_hash_map<std::string, size_t> routes_;
  absl::flat_hash_map<std::string, size_t> credentials_;
  absl::flat_hash_map<ServiceId, size_t> services_;
};

// Returns the target service for a call of `route`. `draw` is uniform in [0, 1)
// and the same for each attempt of one call, so that its attempts stay with one
// service.
const ServiceId& PickTarget(const CallRoute& route, double draw);

}  // namespace oleander

#endif  // OLEANDER_SERVING_CONFIG_H_
