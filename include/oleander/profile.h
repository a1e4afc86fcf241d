// A named profile: what an operator asks of the services that run under it.
//
// An operator changes outcomes by editing a profile and nothing else.
// docs/operators/profiles.md explains every field; etc/ holds samples.
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

// Lower values are served first.
enum class Priority { kInteractive = 0, kStandard = 1, kBatch = 2 };

struct LatencyTargets {
  Duration first_token = std::chrono::milliseconds(1500);
  Duration between_tokens = std::chrono::milliseconds(46);
  // A request that has not ended by then is given up; zero means never (long
  // reviews).
  Duration deadline = std::chrono::seconds(60);
};

// How much each of the two measures counts when they pull apart; they need not
// add up to one.
struct MeasureWeights {
  double cost = 0.5;
  double recomputed_tokens = 0.5;
};

struct CapacityRules {
  // Whether instances are started and stopped to follow the load; else the
  // platform's list is taken as it is.
  bool managed = false;
  int min_servers = 1;
  int max_servers = 64;
  double reclaimable_share =
      0.43;  // At most this share of the servers is reclaimable.
  bool survive_domain_loss =
      true;  // Keep the targets when the largest domain is lost.
  std::vector<std::string>
      machine_classes;           // In order of preference; empty takes any.
  double max_cost_per_hour = 0;  // Zero is no limit.
};

struct WorkspaceRules {
  double default_share = 1;
  std::map<WorkspaceId, double> shares;
  int max_in_flight = 0;  // Per workspace and instance; zero is no limit.
};

enum class ReplicaRule {
  kOtherDomain,  // Refuse where no second failure domain of the region is in
                 // reach.
  kPreferOtherDomain,  // Else take a second instance of the same domain, and
                       // say so.
  kNone,               // Hold the request on its home alone.
};

struct DurabilityRules {
  ReplicaRule replica = ReplicaRule::kPreferOtherDomain;
  Duration answer_retention = std::chrono::minutes(10);
  int max_requests = 0;   // Of this profile on one instance; zero is no limit
                          // but the settings'.
  int64_t max_bytes = 0;  // The same for held bytes.
};

enum class OnDisconnect { kCancel, kFinish };

struct RetryRules {
  double budget_share = 0.1;  // Retries per success.
  bool hedge = false;
  Duration stall_bound =
      std::chrono::seconds(5);  // Without an event, resume elsewhere.
};

// One kind of call of a plain service. The first rule that matches counts; a
// call that no rule matches may not repeat.
struct CallRule {
  std::string method;  // "*" matches every method.
  std::string path;    // Exact, or a prefix that ends in "*".
  bool repeatable = false;
  bool reads_own_writes =
      false;  // Never answers from a state older than the caller's writes.
};

// How to ask a plain service whether a call with a key has run. "{key}" in the
// path stands for the idempotency key.
struct StatusCall {
  std::string method = "GET";
  std::string path;
};

struct Profile {
  ProfileName name;
  ServerKind kind = ServerKind::kEngine;
  std::vector<ServiceId> services;  // The services that run under this profile.
  std::string
      model;  // For engines: what "model" a call may name; empty takes any.
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

// Parses and checks a profile document (JSON with comments). The error lists
// every fault with the field's path and value. `source` names the document in
// messages.
absl::StatusOr<Profile> ParseProfile(std::string_view text,
                                     std::string_view source);

// The workspace's weight when workspaces compete.
double ShareOf(const Profile& profile, const WorkspaceId& workspace);

// The rule for one call of a plain service, or nothing where none matches.
const CallRule* FindCallRule(const Profile& profile, std::string_view method,
                             std::string_view path);

}  // namespace oleander

#endif  // OLEANDER_PROFILE_H_
