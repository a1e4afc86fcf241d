#include "entry/config_codec.h"

#include <fmt/format.h>
#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/gzip_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

#include "absl/container/flat_hash_set.h"
#include "entry.pb.h"
#include "oleander/result_code.h"

namespace oleander::entry {
namespace {

using google::protobuf::io::ArrayInputStream;
using google::protobuf::io::CodedInputStream;
using google::protobuf::io::GzipInputStream;
using google::protobuf::io::GzipOutputStream;
using google::protobuf::io::StringOutputStream;

// Small instances pay more for a higher level than the links gain from it.
constexpr int kCompressionLevel = 1;
constexpr int kMaxDocumentBytes = 64 << 20;

// Of several routes with one host and prefix only the first is in force.
bool IsInForce(const ServingConfig& config, const CallRoute& route) {
  return config.RouteAt(route.host, route.prefix) == &route;
}

Duration Microseconds(int64_t count) { return Duration(count); }

CallKind KindOf(int value) {
  // An unknown kind is treated as the strictest.
  return value >= 0 && value <= static_cast<int>(CallKind::kStream)
             ? static_cast<CallKind>(value)
             : CallKind::kOnce;
}

void WriteRoute(const CallRoute& route, entrywire::ConfigRoute& wire) {
  wire.set_name(route.name);
  wire.set_host(route.host);
  wire.set_prefix(route.prefix);
  wire.set_kind(static_cast<int>(route.kind));
  wire.set_timeout_us(route.timeout.count());
  wire.set_goal_us(route.goal.count());
  wire.set_max_event_gap_us(route.max_event_gap.count());
  wire.set_priority(route.priority);
  for (const RouteTarget& target : route.targets) {
    entrywire::ConfigTarget& wire_target = *wire.add_targets();
    wire_target.set_service(target.service.value());
    wire_target.set_weight(target.weight);
  }
  wire.set_max_attempts(route.max_attempts);
  wire.set_is_public(route.is_public);
  wire.set_resumable(route.resumable);
}

CallRoute ReadRoute(const entrywire::ConfigRoute& wire) {
  CallRoute route{.name = wire.name(),
                  .host = wire.host(),
                  .prefix = wire.prefix(),
                  .kind = KindOf(wire.kind()),
                  .timeout = Microseconds(wire.timeout_us()),
                  .goal = Microseconds(wire.goal_us()),
                  .max_event_gap = Microseconds(wire.max_event_gap_us()),
                  .priority = wire.priority(),
                  .targets = {},
                  .max_attempts = wire.max_attempts(),
                  .is_public = wire.is_public(),
                  .resumable = wire.resumable()};
  for (const entrywire::ConfigTarget& target : wire.targets()) {
    route.targets.push_back(
        {.service = ServiceId(target.service()), .weight = target.weight()});
  }
  return route;
}

void WriteService(const ServiceRule& service, entrywire::ConfigService& wire) {
  wire.set_id(service.id.value());
  wire.set_health_path(service.health_path);
  wire.set_max_connections(service.max_connections);
  if (service.engine) {
    wire.mutable_engine()->set_slots(service.engine->slots);
    wire.mutable_engine()->set_cache_tokens(service.engine->cache_tokens);
  }
  if (service.scaling) {
    entrywire::ConfigScaling& scaling = *wire.mutable_scaling();
    scaling.set_minimum(service.scaling->minimum);
    scaling.set_maximum(service.scaling->maximum);
    scaling.set_boot_us(service.scaling->boot.count());
    scaling.set_reclaimable_price(service.scaling->reclaimable_price);
    for (const auto& [domain, price] : service.scaling->domain_prices) {
      (*scaling.mutable_domain_prices())[domain.value()] = price;
    }
  }
}

ServiceRule ReadService(const entrywire::ConfigService& wire) {
  ServiceRule service{.id = ServiceId(wire.id()),
                      .health_path = wire.health_path(),
                      .max_connections = wire.max_connections(),
                      .engine = {},
                      .scaling = {}};
  if (wire.has_engine()) {
    service.engine = {.slots = wire.engine().slots(),
                      .cache_tokens = wire.engine().cache_tokens()};
  }
  if (wire.has_scaling()) {
    const entrywire::ConfigScaling& scaling = wire.scaling();
    service.scaling = {.minimum = scaling.minimum(),
                       .maximum = scaling.maximum(),
                       .boot = Microseconds(scaling.boot_us()),
                       .reclaimable_price = scaling.reclaimable_price(),
                       .domain_prices = {}};
    for (const auto& [domain, price] : scaling.domain_prices()) {
      service.scaling->domain_prices[DomainId(domain)] = price;
    }
  }
  return service;
}

void WriteWorkspace(const Workspace& workspace,
                    entrywire::ConfigWorkspace& wire) {
  wire.set_id(workspace.id.value());
  if (workspace.priority) {
    wire.set_priority(*workspace.priority);
  }
  wire.set_per_s(workspace.quota.per_s);
  wire.set_burst(workspace.quota.burst);
  wire.set_in_tokens(workspace.quota.in_tokens);
  wire.set_plain_tokens(workspace.quota.plain_tokens);
  for (const std::string& credential : workspace.credentials) {
    wire.add_credentials(credential);
  }
}

Workspace ReadWorkspace(const entrywire::ConfigWorkspace& wire) {
  return {
      .id = WorkspaceId(wire.id()),
      .priority =
          wire.has_priority() ? std::optional(wire.priority()) : std::nullopt,
      .quota = {.per_s = wire.per_s(),
                .burst = wire.burst(),
                .in_tokens = wire.in_tokens(),
                .plain_tokens = wire.plain_tokens()},
      .credentials = {wire.credentials().begin(), wire.credentials().end()}};
}

// Writes all but the routes.
void WriteRest(const ServingConfig& config, entrywire::ConfigDocument& wire) {
  wire.set_version(config.version());
  wire.set_revision(config.revision());
  wire.set_route_count(config.route_count());
  for (const ServiceRule& service : config.services()) {
    WriteService(service, *wire.add_services());
  }
  for (const Workspace& workspace : config.workspaces()) {
    WriteWorkspace(workspace, *wire.add_workspaces());
  }
  entrywire::ConfigLimits& limits = *wire.mutable_limits();
  limits.set_max_header_bytes(config.limits().max_header_bytes);
  limits.set_max_body_bytes(config.limits().max_body_bytes);
  limits.set_header_timeout_us(config.limits().header_timeout.count());
  limits.set_idle_timeout_us(config.limits().idle_timeout.count());
}

ServingConfigParts ReadRest(const entrywire::ConfigDocument& wire) {
  ServingConfigParts parts{
      .version = wire.version(),
      .revision = wire.revision(),
      .routes = {},
      .services = {},
      .workspaces = {},
      .limits = {
          .max_header_bytes = wire.limits().max_header_bytes(),
          .max_body_bytes = wire.limits().max_body_bytes(),
          .header_timeout = Microseconds(wire.limits().header_timeout_us()),
          .idle_timeout = Microseconds(wire.limits().idle_timeout_us())}};
  std::ranges::transform(wire.services(), std::back_inserter(parts.services),
                         ReadService);
  std::ranges::transform(wire.workspaces(),
                         std::back_inserter(parts.workspaces), ReadWorkspace);
  return parts;
}

std::string Compress(const entrywire::ConfigDocument& wire) {
  std::string bytes;
  StringOutputStream output(&bytes);
  GzipOutputStream::Options options;
  options.format = GzipOutputStream::ZLIB;
  options.compression_level = kCompressionLevel;
  {
    GzipOutputStream compressed(&output, options);
    wire.SerializeToZeroCopyStream(&compressed);
  }
  return bytes;
}

bool Decompress(std::string_view bytes, entrywire::ConfigDocument& wire) {
  if (bytes.size() > static_cast<size_t>(std::numeric_limits<int>::max())) {
    return false;
  }
  ArrayInputStream input(bytes.data(), static_cast<int>(bytes.size()));
  GzipInputStream plain(&input, GzipInputStream::ZLIB);
  CodedInputStream coded(&plain);
  coded.SetTotalBytesLimit(kMaxDocumentBytes);
  return wire.ParseFromCodedStream(&coded) && coded.ConsumedEntireMessage() &&
         plain.ZlibErrorCode() >= 0;
}

// Copies the routes of `base` that the change leaves as they are.
void KeepRoutes(const ServingConfig& base,
                const entrywire::ConfigDocument& change,
                std::vector<CallRoute>& routes) {
  absl::flat_hash_set<const CallRoute*> replaced;
  for (const entrywire::ConfigRouteKey& key : change.removed_routes()) {
    replaced.insert(base.RouteAt(key.host(), key.prefix()));
  }
  for (const entrywire::ConfigRoute& route : change.routes()) {
    replaced.insert(base.RouteAt(route.host(), route.prefix()));
  }
  std::ranges::copy_if(
      base.routes(), std::back_inserter(routes), [&](const CallRoute& route) {
        return IsInForce(base, route) && !replaced.contains(&route);
      });
}

absl::Status BadConfig(std::string_view reason, size_t bytes) {
  return MakeError(ResultCode::kMeshBadFrame,
                   fmt::format("A configuration of {} bytes from a peer {}.",
                               bytes, reason));
}

}  // namespace

std::string EncodeConfig(const ServingConfig& config) {
  entrywire::ConfigDocument wire;
  WriteRest(config, wire);
  for (const CallRoute& route : config.routes()) {
    WriteRoute(route, *wire.add_routes());
  }
  return Compress(wire);
}

std::string EncodeConfigChange(const ServingConfig& base,
                               const ServingConfig& config) {
  entrywire::ConfigDocument wire;
  WriteRest(config, wire);
  for (const CallRoute& route : config.routes()) {
    const CallRoute* known = base.RouteAt(route.host, route.prefix);
    if (IsInForce(config, route) && (known == nullptr || *known != route)) {
      WriteRoute(route, *wire.add_routes());
    }
  }
  for (const CallRoute& route : base.routes()) {
    if (config.RouteAt(route.host, route.prefix) == nullptr) {
      entrywire::ConfigRouteKey& removed = *wire.add_removed_routes();
      removed.set_host(route.host);
      removed.set_prefix(route.prefix);
    }
  }
  return Compress(wire);
}

absl::StatusOr<std::shared_ptr<const ServingConfig>> DecodeConfig(
    const ServingConfig* base, std::string_view bytes) {
  entrywire::ConfigDocument wire;
  if (!Decompress(bytes, wire)) {
    return BadConfig("does not parse", bytes.size());
  }
  ServingConfigParts parts = ReadRest(wire);
  if (base != nullptr) {
    KeepRoutes(*base, wire, parts.routes);
  }
  std::ranges::transform(wire.routes(), std::back_inserter(parts.routes),
                         ReadRoute);
  auto config = ServingConfig::Create(std::move(parts));
  if (config->route_count() != wire.route_count()) {
    return BadConfig(fmt::format("has {} routes in place of {}",
                                 config->route_count(), wire.route_count()),
                     bytes.size());
  }
  return config;
}

}  // namespace oleander::entry
