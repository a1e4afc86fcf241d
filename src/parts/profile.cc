#include "oleander/profile.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "oleander/field_reader.h"
#include "oleander/result_code.h"

namespace oleander {
namespace {

using std::chrono::milliseconds;

constexpr int64_t kMaxServers = 100000;
constexpr int64_t kMaxRequests = 10'000'000;
constexpr int64_t kMaxHeldBytes = int64_t{1} << 40;
constexpr double kMaxWeight = 1000;
constexpr Duration kMinStallBound = milliseconds(50);

// Reads an enumeration's value; `names` are its texts in the order of its
// values.
template <typename Enum>
Enum ReadChoice(FieldReader& reader, std::string_view key,
                const std::vector<std::string>& names, Enum fallback) {
  const std::string text = reader.Text(
      key, {.fallback = names[static_cast<size_t>(fallback)], .one_of = names});
  const auto found = std::ranges::find(names, text);
  return static_cast<Enum>(std::distance(names.begin(), found));
}

// Reads the object at `key` into `value` and reports unknown fields.
template <typename Value>
void ReadObject(FieldReader& parent, std::string_view key, Value& value,
                void (*read)(FieldReader&, Value&)) {
  if (auto reader = parent.Object(key)) {
    read(*reader, value);
    reader->Finish();
  }
}

void ReadLatency(FieldReader& reader, LatencyTargets& latency) {
  latency.first_token = reader.Milliseconds(
      "first_token_ms",
      {.fallback = latency.first_token, .minimum = milliseconds(1)});
  latency.between_tokens = reader.Milliseconds(
      "between_tokens_ms",
      {.fallback = latency.between_tokens, .minimum = milliseconds(1)});
  latency.deadline =
      reader.Milliseconds("deadline_ms", {.fallback = latency.deadline});
  const bool ordered = latency.deadline == Duration::zero() ||
                       latency.deadline >= latency.first_token;
  if (!ordered) {
    reader.Problem("deadline_ms", "0, or at least first_token_ms");
  }
}

void ReadWeights(FieldReader& reader, MeasureWeights& weights) {
  weights.cost =
      reader.Number("cost", {.fallback = weights.cost, .maximum = kMaxWeight});
  weights.recomputed_tokens = reader.Number(
      "recomputed_tokens",
      {.fallback = weights.recomputed_tokens, .maximum = kMaxWeight});
}

void ReadCapacity(FieldReader& reader, CapacityRules& capacity) {
  capacity.managed = reader.Flag("managed", capacity.managed);
  capacity.min_servers = static_cast<int>(reader.Integer(
      "min_servers",
      {.fallback = capacity.min_servers, .maximum = kMaxServers}));
  capacity.max_servers = static_cast<int>(reader.Integer(
      "max_servers",
      {.fallback = capacity.max_servers, .maximum = kMaxServers}));
  capacity.reclaimable_share =
      reader.Number("reclaimable_share",
                    {.fallback = capacity.reclaimable_share, .maximum = 1});
  capacity.survive_domain_loss =
      reader.Flag("survive_domain_loss", capacity.survive_domain_loss);
  capacity.machine_classes = reader.Texts("machine_classes");
  capacity.max_cost_per_hour = reader.Number(
      "max_cost_per_hour", {.fallback = capacity.max_cost_per_hour});
  if (capacity.min_servers > capacity.max_servers) {
    reader.Problem("min_servers", "at most max_servers");
  }
}

void ReadShares(FieldReader& reader, std::map<WorkspaceId, double>& shares) {
  for (const std::string& workspace : reader.RemainingKeys()) {
    shares[WorkspaceId(workspace)] =
        reader.Number(workspace, {.maximum = kMaxWeight});
  }
}

void ReadWorkspaces(FieldReader& reader, WorkspaceRules& workspaces) {
  workspaces.default_share = reader.Number(
      "default_share",
      {.fallback = workspaces.default_share, .maximum = kMaxWeight});
  workspaces.max_in_flight = static_cast<int>(reader.Integer(
      "max_in_flight",
      {.fallback = workspaces.max_in_flight, .maximum = kMaxRequests}));
  ReadObject(reader, "shares", workspaces.shares, &ReadShares);
}

void ReadDurability(FieldReader& reader, DurabilityRules& durability) {
  durability.replica = ReadChoice(
      reader, "replica", {"other_domain", "prefer_other_domain", "none"},
      durability.replica);
  durability.answer_retention = reader.Milliseconds(
      "answer_kept_ms", {.fallback = durability.answer_retention});
  durability.max_requests = static_cast<int>(reader.Integer(
      "max_requests",
      {.fallback = durability.max_requests, .maximum = kMaxRequests}));
  durability.max_bytes = reader.Integer(
      "max_bytes",
      {.fallback = durability.max_bytes, .maximum = kMaxHeldBytes});
}

void ReadRetries(FieldReader& reader, RetryRules& retries) {
  retries.budget_share = reader.Number(
      "budget_share", {.fallback = retries.budget_share, .maximum = 1});
  retries.hedge = reader.Flag("hedge", retries.hedge);
  retries.stall_bound = reader.Milliseconds(
      "stall_bound_ms",
      {.fallback = retries.stall_bound, .minimum = kMinStallBound});
}

CallRule ReadCallRule(FieldReader& reader) {
  CallRule rule;
  rule.method = reader.Text("method", {.fallback = "*"});
  rule.path = reader.Text("path");
  rule.repeatable = reader.Flag("repeatable", rule.repeatable);
  rule.reads_own_writes =
      reader.Flag("reads_own_writes", rule.reads_own_writes);
  if (!rule.path.starts_with('/') && rule.path != "*") {
    reader.Problem("path", "a path that starts with \"/\", or \"*\"");
  }
  reader.Finish();
  return rule;
}

StatusCall ReadStatusCall(FieldReader& reader) {
  StatusCall call;
  call.method = reader.Text("method", {.fallback = call.method});
  call.path = reader.Text("path");
  if (call.path.find("{key}") == std::string::npos) {
    reader.Problem("path", "a path that holds \"{key}\"");
  }
  reader.Finish();
  return call;
}

void ReadServices(FieldReader& root, Profile& profile) {
  std::ranges::transform(
      root.Texts("services"), std::back_inserter(profile.services),
      [](std::string& text) { return ServiceId(std::move(text)); });
  std::vector<ServiceId> sorted = profile.services;
  std::ranges::sort(sorted);
  const bool distinct = std::ranges::adjacent_find(sorted) == sorted.end();
  const bool named = std::ranges::none_of(sorted, &ServiceId::empty);
  if (sorted.empty() || !distinct || !named) {
    root.Problem("services", "a list of one or more different services");
  }
}

// Returns whether a name can be used in keys and URL paths.
bool IsPlainName(std::string_view name) {
  return !name.empty() && std::ranges::all_of(name, [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
  });
}

void ReadPlainServiceFields(FieldReader& root, Profile& profile) {
  std::ranges::transform(root.Objects("calls"),
                         std::back_inserter(profile.calls), &ReadCallRule);
  if (auto reader = root.Object("status_call")) {
    profile.status_call = ReadStatusCall(*reader);
  }
  if (profile.kind == ServerKind::kPlain) {
    return;
  }
  if (!profile.calls.empty()) {
    root.Problem("calls", "no calls, since \"kind\" is \"engine\"");
  }
  if (profile.status_call.has_value()) {
    root.Problem("status_call", "no status call, since \"kind\" is \"engine\"");
  }
}

Profile ReadProfile(FieldReader& root) {
  Profile profile;
  profile.name = ProfileName(root.Text("name"));
  if (!IsPlainName(profile.name.value())) {
    root.Problem("name", "letters, digits, \"-\", \"_\" and \".\" only");
  }
  profile.kind = ReadChoice(root, "kind", {"engine", "plain"}, profile.kind);
  ReadServices(root, profile);
  profile.model = root.Text("model", {.fallback = "", .may_be_empty = true});
  profile.priority = ReadChoice(
      root, "priority", {"interactive", "standard", "batch"}, profile.priority);
  ReadObject(root, "latency", profile.latency, &ReadLatency);
  ReadObject(root, "weights", profile.weights, &ReadWeights);
  ReadObject(root, "capacity", profile.capacity, &ReadCapacity);
  ReadObject(root, "workspaces", profile.workspaces, &ReadWorkspaces);
  ReadObject(root, "durability", profile.durability, &ReadDurability);
  profile.on_disconnect = ReadChoice(
      root, "on_disconnect", {"cancel", "finish"}, profile.on_disconnect);
  ReadObject(root, "retries", profile.retries, &ReadRetries);
  ReadPlainServiceFields(root, profile);
  root.Finish();
  return profile;
}

bool PathMatches(std::string_view pattern, std::string_view path) {
  if (pattern.ends_with('*')) {
    pattern.remove_suffix(1);
    return path.starts_with(pattern);
  }
  return pattern == path;
}

}  // namespace

absl::StatusOr<Profile> ParseProfile(std::string_view text,
                                     std::string_view source) {
  auto document =
      ParseJsonWithComments(text, source, ResultCode::kProfileInvalid);
  if (!document.ok()) {
    return document.status();
  }
  FieldProblems problems;
  FieldReader root(*document, "", problems);
  Profile profile = ReadProfile(root);
  if (!problems.empty()) {
    return problems.ToStatus(ResultCode::kProfileInvalid, source);
  }
  return profile;
}

double ShareOf(const Profile& profile, const WorkspaceId& workspace) {
  const auto found = profile.workspaces.shares.find(workspace);
  return found == profile.workspaces.shares.end()
             ? profile.workspaces.default_share
             : found->second;
}

const CallRule* FindCallRule(const Profile& profile, std::string_view method,
                             std::string_view path) {
  const auto found =
      std::ranges::find_if(profile.calls, [&](const CallRule& rule) {
        return (rule.method == "*" || rule.method == method) &&
               PathMatches(rule.path, path);
      });
  return found == profile.calls.end() ? nullptr : &*found;
}

}  // namespace oleander
