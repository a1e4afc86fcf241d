#include "entry/settings.h"

#include <arpa/inet.h>

#include <charconv>
#include <cmath>
#include <utility>

#include "oleander/field_reader.h"
#include "oleander/result_code.h"

namespace oleander::entry {
namespace {

constexpr int64_t kMaxPort = 65535;
constexpr int64_t kMebibyte = int64_t{1} << 20;
constexpr double kMaxSeconds = 3600;

bool IsIpv4Address(const std::string& text) {
  in_addr buffer;
  return inet_pton(AF_INET, text.c_str(), &buffer) == 1;
}

Endpoint ReadEndpoint(FieldReader& reader, std::string_view key) {
  const std::string text = reader.Text(key);
  const size_t colon = std::min(text.rfind(':'), text.size());
  Endpoint endpoint{.address = text.substr(0, colon), .port = 0};
  const char* begin = text.data() + std::min(colon + 1, text.size());
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(begin, end, endpoint.port);
  const bool whole = result.ec == std::errc() && result.ptr == end &&
                     endpoint.port != 0 && IsIpv4Address(endpoint.address);
  if (!whole && !text.empty()) {
    reader.Problem(key, "an IPv4 number, a colon and a port from 1 to 65535");
  }
  return endpoint;
}

uint16_t ReadPort(FieldReader& reader, std::string_view key) {
  return static_cast<uint16_t>(
      reader.Integer(key, {.minimum = 1, .maximum = kMaxPort}));
}

Duration ReadSeconds(FieldReader& reader, std::string_view key) {
  const double seconds = reader.Number(
      key, {.fallback = std::nullopt, .minimum = 0, .maximum = kMaxSeconds});
  return Duration(std::llround(seconds * 1e6));
}

// All three fields or none of them.
std::optional<RolloutBounds> ReadRolloutBounds(FieldReader& reader) {
  const bool has_any = reader.Has("exposure_share") ||
                       reader.Has("exposure_slack") ||
                       reader.Has("rollback_ms");
  if (!has_any) {
    return std::nullopt;
  }
  RolloutBounds bounds;
  bounds.exposure_share = reader.Number("exposure_share", {.maximum = 1});
  bounds.exposure_slack = reader.Number("exposure_slack");
  bounds.rollback = reader.Milliseconds(
      "rollback_ms", {.minimum = std::chrono::milliseconds(1)});
  return bounds;
}

Bounds ReadBounds(FieldReader& reader) {
  Bounds bounds;
  const bool strict = reader.Flag("strict_revoke");
  const Duration revoke = reader.Milliseconds("revoke_ms");
  bounds.revoke = strict ? revoke : Duration::zero();
  bounds.drain_grace = ReadSeconds(reader, "drain_grace_s");
  bounds.retry_share = reader.Number("retry_share", {.maximum = 10});
  bounds.retry_slack = reader.Number("retry_slack");
  bounds.quota_window = ReadSeconds(reader, "quota_window_s");
  bounds.quota_overage = reader.Number("quota_overage", {.maximum = 10});
  bounds.quota_slack = reader.Number("quota_slack");
  bounds.lease = reader.Milliseconds("lease_ms");
  bounds.usage_window = ReadSeconds(reader, "usage_window_s");
  bounds.usage_late = ReadSeconds(reader, "usage_late_s");
  bounds.rollouts = ReadRolloutBounds(reader);
  if (bounds.usage_window < std::chrono::milliseconds(100)) {
    reader.Problem("usage_window_s", "at least 0.1");
  }
  reader.Finish();
  return bounds;
}

EntryLimits ReadLimits(FieldReader& reader) {
  EntryLimits limits;
  limits.memory_bytes =
      static_cast<size_t>(reader.Integer(
          "memory_mib", {.minimum = 32, .maximum = int64_t{1} << 20})) *
      kMebibyte;
  limits.cores = reader.Number(
      "cores", {.fallback = std::nullopt, .minimum = 0.01, .maximum = 1024});
  reader.Finish();
  return limits;
}

std::map<DomainId, RegionId> ReadDomains(FieldReader& reader) {
  std::map<DomainId, RegionId> domains;
  for (const std::string& key : reader.RemainingKeys()) {
    domains.emplace(DomainId(key), RegionId(reader.Text(key)));
  }
  reader.Finish();
  return domains;
}

void ReadLocation(FieldReader& root, EntrySettings& settings) {
  settings.location = {.region = RegionId(root.Text("region")),
                       .domain = DomainId(root.Text("domain"))};
  if (auto domains = root.Object("domains", /*required=*/true)) {
    settings.domains = ReadDomains(*domains);
  }
  const bool listed = settings.domains.contains(settings.location.domain);
  if (!listed && !settings.location.domain.empty()) {
    root.Problem("domain", "one of the names under \"domains\"");
  }
}

void ReadEndpoints(FieldReader& root, EntrySettings& settings) {
  settings.callers = ReadEndpoint(root, "callers");
  settings.readiness = ReadEndpoint(root, "readiness");
  settings.store = ReadEndpoint(root, "store");
  settings.duties = ReadEndpoint(root, "duties");
  settings.mesh_port = ReadPort(root, "mesh_port");
  settings.relay_port = static_cast<uint16_t>(root.Integer(
      "relay_port", {.fallback = 0, .minimum = 0, .maximum = kMaxPort}));
  settings.metrics_port = ReadPort(root, "metrics_port");
}

}  // namespace

absl::StatusOr<EntrySettings> ParseEntrySettings(std::string_view text,
                                                 std::string_view source) {
  auto document =
      ParseJsonWithComments(text, source, ResultCode::kSettingsUnreadable);
  if (!document.ok()) {
    return document.status();
  }
  FieldProblems problems;
  FieldReader root(*document, "", problems);
  EntrySettings settings;
  root.Text("deployment", {.one_of = {"platform"}});
  settings.instance = InstanceId(root.Text("instance"));
  ReadLocation(root, settings);
  ReadEndpoints(root, settings);
  settings.duty_names = root.Texts("duty_names");
  if (auto limits = root.Object("limits", /*required=*/true)) {
    settings.limits = ReadLimits(*limits);
  }
  if (auto bounds = root.Object("bounds", /*required=*/true)) {
    settings.bounds = ReadBounds(*bounds);
  }
  settings.first_start = root.Flag("first_start", false);
  settings.learned_pace = root.Flag("learned_pace", true);
  const std::string level = root.Text(
      "log_level",
      {.fallback = "info", .one_of = {"debug", "info", "warning", "error"}});
  io::ParseLogLevel(level, settings.log_level);
  root.Finish();
  if (!problems.empty()) {
    return problems.ToStatus(ResultCode::kSettingsInvalid, source);
  }
  return settings;
}

}  // namespace oleander::entry
