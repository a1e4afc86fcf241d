// A named profile: an operator's requirements for the services that run under
// it, such as latency targets, capacity and durability.
//
// Operators change how services are run only by editing profiles.
// docs/operators/profiles.md explains every field; etc/ contains samples.
#ifndef OLEANDER_PROFILE_H_
#define OLEANDER_PROFILE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "oleander/types.h"

namespace oleander {

// Priority of a service's requests; lower values are served first.
enum class Priority { kInteractive = 0, kStandard = 1, kBatch = 2 };

struct LatencyTargets {
  Duration first_token = std::chrono::milliseconds(1500);
  Duration between_tokens = std::chrono::milliseconds(46);
  // A request that has not ended by then is abandoned. Zero: no deadline, for
  // requests of unbounded length such as long reviews.
  Duration deadline = std::chrono::seconds(60);
};

// Relative weights of the two measures when they conflict; they need not add up
// to one.
struct MeasureWeights {
  double cost = 0.5;
  double recomputed_tokens = 0.5;
};

struct CapacityRules {
  // Whether servers are started and stopped to follow the load. Otherwise the
  // platform's list of servers is used as it is.
  bool managed = false;
  int min_servers = 1;
  int max_servers = 64;
  // Maximum share of the servers that may be reclaimable.
  double reclaimable_share = 0.43;
  // Whether the targets must be met after the loss of the largest domain.
  bool survive_domain_loss = true;
  // In order of preference; empty allows any class.
  std::vector<std::string> machine_classes;
  double max_cost_per_hour = 0;  // Zero: no limit.
};

// How the profile's services are shared among workspaces. A share is a weight,
// see ShareOf().
struct WorkspaceRules {
  double default_share = 1;
  std::map<WorkspaceId, double> shares;
  int max_in_flight = 0;  // Per workspace and instance; zero: no limit.
};

// Rule for the instance that holds the replica of a request, beside the
// request's home (the instance that is its primary).
enum class ReplicaRule {
  // In another failure domain of the region; requests are refused while none is
  // reachable.
  kOtherDomain,
  // Like kOtherDomain, but if no other domain is reachable, on another instance
  // of the same domain, which is reported.
  kPreferOtherDomain,
  // No replica: the request is held by its home alone.
  kNone,
};

struct DurabilityRules {
  ReplicaRule replica = ReplicaRule::kPreferOtherDomain;
  Duration answer_retention = std::chrono::minutes(10);
  // Limits for the requests of this profile and their bytes that one instance
  // holds, in addition to the limits in the settings; zero: none.
  int max_requests = 0;
  int64_t max_bytes = 0;
};

// Whether a request is cancelled or finished when its caller disconnects.
enum class OnDisconnect { kCancel, kFinish };

struct RetryRules {
  double budget_share = 0.1;  // Allowed retries per successful request.
  bool hedge = false;
  // An attempt without an event for this long is resumed on another server.
  Duration stall_bound = std::chrono::seconds(5);
};

// Properties of one kind of call of a plain service. The first rule that
// matches applies; a call that no rule matches is not repeatable.
struct CallRule {
  std::string method;  // "*" matches every method.
  std::string path;    // Exact, or a prefix that ends in "*".
  bool repeatable = false;
  // The call must not be answered from a state older than the caller's writes.
  bool reads_own_writes = false;
};

// The request that finds out from a plain service whether a call with an
// idempotency key has run. "{key}" in the path is replaced by the key.
struct StatusCall {
  std::string method = "GET";
  std::string path;
};

struct Profile {
  ProfileName name;
  ServerKind kind = ServerKind::kEngine;
  std::vector<ServiceId> services;  // The services that run under this profile.
  // For engines: the "model" that a call may name; empty allows any.
  std::string model;
  Priority priority = Priority::kStandard;
  LatencyTargets latency;
  MeasureWeights weights;
  CapacityRules capacity;
  WorkspaceRules workspaces;
  DurabilityRules durability;
  OnDisconnect on_disconnect = OnDisconnect::kFinish;
  RetryRules retries;
  std::vector<CallRule> calls;
  std::optional<StatusCall> status_call;
};

// Parses and checks a profile document (JSON with comments). Returns
// kProfileInvalid with the path and value of every faulty field. `source` is
// the document's name in error messages.
absl::StatusOr<Profile> ParseProfile(std::string_view text,
                                     std::string_view source);

// Returns the weight of a workspace's requests when workspaces compete.
double ShareOf(const Profile& profile, const WorkspaceId& workspace);

// Returns the rule for a call of a plain service, or null if none matches.
const CallRule* FindCallRule(const Profile& profile, std::string_view method,
                             std::string_view path);

}  // namespace oleander

#endif  // OLEANDER_PROFILE_H_
