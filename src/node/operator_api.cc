#include "node/operator_api.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include "absl/random/random.h"
#include "node/http_answers.h"
#include "oleander/audit.h"
#include "oleander/result_code.h"

namespace oleander::node {
namespace {

using nlohmann::json;

constexpr int kOkStatus = 200;
constexpr size_t kMaxAuditRecords = 200;
constexpr Duration kInForceTimeout = std::chrono::seconds(1);
constexpr std::string_view kAuditRoot = "/oleander/audit/";

std::string FormatTime(WallTime time) {
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}Z",
                     std::chrono::floor<std::chrono::milliseconds>(time));
}

std::string HeaderOr(const io::HttpRequest& request, std::string_view name,
                     std::string_view fallback) {
  return std::string(io::FindHeader(request.headers, name).value_or(fallback));
}

absl::StatusOr<int64_t> ReadRevision(std::string text) {
  std::erase(text, '"');
  int64_t revision = 0;
  const auto result =
      std::from_chars(text.data(), text.data() + text.size(), revision);
  if (result.ec != std::errc() || result.ptr != text.data() + text.size() ||
      revision < 0) {
    return MakeError(ResultCode::kMalformedRequest,
                     fmt::format("\"{}\" is not a revision.", text));
  }
  return revision;
}

std::string NewEditId() {
  absl::BitGen random;
  return fmt::format("{:016x}", random());
}

json JsonOf(const AuditRecord& record) {
  json differences = json::array();
  for (const AuditDifference& difference : record.differences) {
    differences.push_back({{"path", difference.path},
                           {"from", difference.from},
                           {"to", difference.to}});
  }
  return {{"time", FormatTime(record.when)},
          {"who", record.who},
          {"what", record.profile.value()},
          {"through", record.through.value()},
          {"from", record.from_revision},
          {"to", record.to_revision},
          {"deleted", record.deleted},
          {"reason", record.reason},
          {"outcome", AuditOutcomeName(record.outcome)},
          {"edit", record.edit_id},
          {"differences", differences}};
}

json JsonOf(const DomainInForce& domain) {
  json behind = json::array();
  for (const InstanceId& instance : domain.behind) {
    behind.push_back(instance.value());
  }
  return {{"domain", domain.domain.value()},
          {"in_force", domain.in_force},
          {"members", domain.members},
          {"waiting", domain.reached ? domain.members - domain.in_force : 0},
          {"unreachable", domain.reached ? 0 : domain.members},
          {"behind", behind}};
}

bool IsInForce(const DomainInForce& domain) {
  return !domain.reached || domain.in_force >= domain.members;
}

std::string EtagOf(int64_t revision) { return std::to_string(revision); }

}  // namespace

std::span<const OperatorApi::Route> OperatorApi::Routes() {
  static constexpr auto kRoutes = std::to_array<Route>({
      {"GET", "status", 1, "", &OperatorApi::Status},
      {"GET", "members", 1, "", &OperatorApi::Members},
      {"GET", "servers", 1, "", &OperatorApi::Servers},
      {"GET", "audit", 1, "", &OperatorApi::Audit},
      {"GET", "profiles", 1, "", &OperatorApi::ListProfiles},
      {"GET", "profiles", 3, "history", &OperatorApi::History},
      {"GET", "profiles", 3, "force", &OperatorApi::InForce},
      {"GET", "profiles", 2, "", &OperatorApi::ShowProfile},
      {"PUT", "profiles", 2, "", &OperatorApi::PutProfile},
      {"DELETE", "profiles", 2, "", &OperatorApi::DeleteProfile},
  });
  return kRoutes;
}

void OperatorApi::Handle(const Exchange& exchange) {
  const io::HttpRequest& request = exchange->request();
  if (HandleHealth(exchange, parts_.not_ready)) {
    return;
  }
  if (request.path == "/metrics") {
    exchange->Respond(
        kOkStatus,
        {{.name = "content-type", .value = "text/plain; version=0.0.4"}},
        parts_.metrics_text());
    return;
  }
  if (absl::Status status = parts_.token.Check(request.headers); !status.ok()) {
    RespondError(*exchange, status);
    return;
  }
  const Segments path = PathParts(request.path);
  if (path.size() >= 3 && path[0] == "v1" && path[1] == "requests") {
    parts_.requests.Handle(exchange, {path.begin() + 2, path.end()});
    return;
  }
  const auto route =
      std::ranges::find_if(Routes(), [&](const Route& candidate) {
        return path.size() == candidate.parts + 1 && path[0] == "v1" &&
               path[1] == candidate.first &&
               request.method == candidate.method &&
               (candidate.last.empty() || path.back() == candidate.last);
      });
  if (route == Routes().end()) {
    RespondError(*exchange,
                 MakeError(ResultCode::kUnknownPath,
                           fmt::format("The path {} does not exist for {}.",
                                       request.path, request.method)));
    return;
  }
  (this->*route->handle)(exchange, {path.begin() + 2, path.end()});
}

void OperatorApi::Status(const Exchange& exchange, const Segments&) {
  RespondJson(*exchange, kOkStatus, parts_.status());
}

void OperatorApi::Members(const Exchange& exchange, const Segments&) {
  json members = json::array();
  const InstanceInfo& self = parts_.members.membership().self();
  members.push_back(
      {{"instance", self.id.value()},
       {"region", self.location.region.value()},
       {"domain", self.location.domain.value()},
       {"address", self.address},
       {"state", "self"},
       {"incarnation", parts_.members.membership().incarnation()}});
  for (const Member& member : parts_.members.membership().members()) {
    members.push_back({{"instance", member.info.id.value()},
                       {"region", member.info.location.region.value()},
                       {"domain", member.info.location.domain.value()},
                       {"address", member.info.address},
                       {"state", MemberStateName(member.state)},
                       {"incarnation", member.incarnation}});
  }
  RespondJson(*exchange, kOkStatus, {{"members", members}});
}

void OperatorApi::Servers(const Exchange& exchange, const Segments&) {
  const Time now = parts_.loop.now();
  json servers = json::array();
  std::vector<ServerInfo> infos = parts_.servers.all();
  std::ranges::sort(infos, {}, &ServerInfo::id);
  for (const ServerInfo& info : infos) {
    json row = {{"server", info.id.value()},
                {"service", info.service.value()},
                {"domain", info.location.domain.value()},
                {"market", info.market == Market::kReclaimable ? "reclaimable"
                                                               : "on_demand"},
                {"usable", parts_.load.spread().usable(info.id, now)},
                {"leaving", parts_.load.spread().leaving(info.id)},
                {"own_in_flight", parts_.router.in_flight(info.id)}};
    if (const auto known = parts_.load.spread().Find(info.id, now)) {
      row["running"] = known->report.running;
      row["waiting"] = known->report.waiting;
      row["slots"] = known->report.slots;
      row["age_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(
                          known->report.age)
                          .count();
    }
    servers.push_back(std::move(row));
  }
  RespondJson(*exchange, kOkStatus, {{"servers", servers}});
}

void OperatorApi::Audit(const Exchange& exchange, const Segments&) {
  RespondAudit(exchange, std::string(kAuditRoot));
}

void OperatorApi::History(const Exchange& exchange, const Segments& segments) {
  RespondAudit(exchange, AuditPrefix(ProfileName(segments[0])));
}

void OperatorApi::RespondAudit(const Exchange& exchange,
                               const std::string& prefix) {
  parts_.store.Range(
      StoreClass::kOther, {.call = 0, .key = prefix, .prefix = true},
      [exchange](const absl::StatusOr<StoreRangeAnswer>& answer) {
        if (!answer.ok()) {
          RespondError(*exchange, answer.status());
          return;
        }
        std::vector<AuditRecord> records;
        for (const StoreEntry& entry : answer->entries) {
          auto record = DecodeAuditRecord(entry.value);
          if (record.ok()) {
            record->to_revision = entry.mod_revision;
            records.push_back(*std::move(record));
          }
        }
        std::ranges::sort(records, std::ranges::greater{},
                          &AuditRecord::to_revision);
        records.resize(std::min(records.size(), kMaxAuditRecords));
        json rows = json::array();
        std::ranges::transform(
            records, std::back_inserter(rows),
            [](const AuditRecord& record) { return JsonOf(record); });
        RespondJson(*exchange, kOkStatus, {{"records", rows}});
      });
}

void OperatorApi::ListProfiles(const Exchange& exchange, const Segments&) {
  json profiles = json::array();
  for (const ProfileState* state : parts_.profiles.profiles().all()) {
    if (state->deleted) {
      continue;
    }
    json row = {{"profile", state->name.value()},
                {"revision", state->revision}};
    if (state->profile.has_value()) {
      row["kind"] =
          state->profile->kind == ServerKind::kEngine ? "engine" : "plain";
      json services = json::array();
      for (const ServiceId& service : state->profile->services) {
        services.push_back(service.value());
      }
      row["services"] = services;
    }
    if (!state->problem.ok()) {
      row["problem"] = std::string(state->problem.message());
    }
    profiles.push_back(std::move(row));
  }
  RespondJson(*exchange, kOkStatus, {{"profiles", profiles}});
}

void OperatorApi::ShowProfile(const Exchange& exchange,
                              const Segments& segments) {
  const ProfileState* state =
      parts_.profiles.profiles().Find(ProfileName(segments[0]));
  if (state == nullptr || state->deleted) {
    io::Headers headers;
    if (state != nullptr) {
      headers.push_back({.name = "etag", .value = EtagOf(state->revision)});
    }
    RespondError(*exchange,
                 MakeError(ResultCode::kUnknownProfile,
                           fmt::format("The profile \"{}\" does not exist.",
                                       segments[0])),
                 std::move(headers));
    return;
  }
  exchange->Respond(kOkStatus,
                    {{.name = "content-type", .value = "application/json"},
                     {.name = "etag", .value = EtagOf(state->revision)}},
                    state->value.document);
}

void OperatorApi::PutProfile(const Exchange& exchange,
                             const Segments& segments) {
  ProfileEdit edit;
  edit.name = ProfileName(segments[0]);
  edit.document = exchange->request().body;
  Edit(exchange, std::move(edit));
}

void OperatorApi::DeleteProfile(const Exchange& exchange,
                                const Segments& segments) {
  ProfileEdit edit;
  edit.name = ProfileName(segments[0]);
  edit.remove = true;
  Edit(exchange, std::move(edit));
}

void OperatorApi::Edit(const Exchange& exchange, ProfileEdit edit) {
  const io::HttpRequest& request = exchange->request();
  if (const auto base = io::FindHeader(request.headers, "if-match")) {
    const auto revision = ReadRevision(std::string(*base));
    if (!revision.ok()) {
      RespondError(*exchange, revision.status());
      return;
    }
    edit.base = *revision;
  }
  edit.edit_id = HeaderOr(request, "oleander-edit-id", NewEditId());
  edit.who = HeaderOr(request, "oleander-operator", "operator");
  edit.reason = HeaderOr(request, "oleander-reason", "");
  edit.when = io::EventLoop::wall_now();
  parts_.profiles.Edit(
      edit, [exchange, name = edit.name](const EditDone& done) {
        if (!done.status.ok()) {
          RespondError(*exchange, done.status,
                       {{.name = "etag", .value = EtagOf(done.revision)}});
          return;
        }
        RespondJson(*exchange, kOkStatus,
                    {{"profile", name.value()}, {"revision", done.revision}},
                    {{.name = "etag", .value = EtagOf(done.revision)}});
      });
}

void OperatorApi::InForce(const Exchange& exchange, const Segments& segments) {
  const auto revision = ReadRevision(
      io::FindQuery(exchange->request().query, "revision").value_or("0"));
  if (!revision.ok()) {
    RespondError(*exchange, revision.status());
    return;
  }
  parts_.profiles.WaitInForce(
      ProfileName(segments[0]), *revision, kInForceTimeout,
      [exchange](const InForceReport& report) {
        json domains = json::array();
        std::ranges::transform(
            report.domains, std::back_inserter(domains),
            [](const DomainInForce& domain) { return JsonOf(domain); });
        RespondJson(*exchange, kOkStatus,
                    {{"in_force_on_all_reachable",
                      std::ranges::all_of(report.domains, IsInForce)},
                     {"domains", domains}});
      });
}

}  // namespace oleander::node
