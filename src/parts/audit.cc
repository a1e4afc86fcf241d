#include "oleander/audit.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "oleander/field_reader.h"
#include "oleander/result_code.h"
#include "parts/rings.h"

namespace oleander {
namespace {

using nlohmann::json;

constexpr std::array<std::string_view, 3> kOutcomeNames = {
    "accepted", "conflict", "refused"};
// Upper bound of a record's size without reason and differences.
constexpr size_t kMaxFixedBytes = 2048;
constexpr size_t kMaxReasonBytes = 1000;
constexpr uint64_t kRefusedSlots = 16;

std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

// Adds every leaf of `value` to `leaves` by its path. A list counts as one
// leaf, so that an inserted item is one change.
void Flatten(const json& value, const std::string& path,
             std::map<std::string, std::string>& leaves) {
  if (!value.is_object()) {
    leaves[path] = Dump(value);
    return;
  }
  for (const auto& [key, child] : value.items()) {
    Flatten(child, path.empty() ? key : fmt::format("{}.{}", path, key),
            leaves);
  }
}

std::map<std::string, std::string> LeavesOf(std::string_view document) {
  std::map<std::string, std::string> leaves;
  const json parsed = json::parse(document, nullptr, /*allow_exceptions=*/false,
                                  /*ignore_comments=*/true);
  if (parsed.is_object()) {
    Flatten(parsed, "", leaves);
  }
  return leaves;
}

std::string ValueAt(const std::map<std::string, std::string>& leaves,
                    const std::string& path) {
  const auto found = leaves.find(path);
  return found == leaves.end() ? "" : found->second;
}

json ToJson(const AuditDifference& difference) {
  return {{"path", difference.path},
          {"from", difference.from},
          {"to", difference.to}};
}

AuditDifference ReadDifference(FieldReader& reader) {
  const TextRule may_be_empty = {.fallback = "", .may_be_empty = true};
  return {.path = reader.Text("path", may_be_empty),
          .from = reader.Text("from", may_be_empty),
          .to = reader.Text("to", may_be_empty)};
}

AuditOutcome ReadOutcome(FieldReader& reader) {
  const std::vector<std::string> names(kOutcomeNames.begin(),
                                       kOutcomeNames.end());
  const std::string name =
      reader.Text("outcome", {.fallback = names.front(), .one_of = names});
  return static_cast<AuditOutcome>(
      std::distance(names.begin(), std::ranges::find(names, name)));
}

}  // namespace

std::string_view AuditOutcomeName(AuditOutcome outcome) {
  return kOutcomeNames[static_cast<size_t>(outcome)];
}

std::vector<AuditDifference> DifferencesOf(std::string_view from_document,
                                           std::string_view to_document) {
  const auto from = LeavesOf(from_document);
  const auto to = LeavesOf(to_document);
  std::set<std::string> paths;
  std::ranges::transform(from, std::inserter(paths, paths.end()),
                         [](const auto& leaf) { return leaf.first; });
  std::ranges::transform(to, std::inserter(paths, paths.end()),
                         [](const auto& leaf) { return leaf.first; });
  std::vector<AuditDifference> differences;
  for (const std::string& path : paths) {
    AuditDifference difference = {
        .path = path, .from = ValueAt(from, path), .to = ValueAt(to, path)};
    if (difference.from != difference.to) {
      differences.push_back(std::move(difference));
    }
  }
  return differences;
}

void ShortenToFit(AuditRecord& record, size_t max_bytes) {
  if (record.reason.size() > kMaxReasonBytes) {
    record.reason.resize(kMaxReasonBytes);
    record.shortened = true;
  }
  size_t bytes = kMaxFixedBytes + record.reason.size();
  const auto first_removed =
      std::ranges::find_if(record.differences, [&](const auto& difference) {
        bytes += Dump(ToJson(difference)).size() + 1;
        return bytes > max_bytes;
      });
  if (first_removed != record.differences.end()) {
    record.differences.erase(first_removed, record.differences.end());
    record.shortened = true;
  }
}

std::string AuditPrefix(const ProfileName& profile) {
  return fmt::format("/oleander/audit/{}/", profile.value());
}

std::string AuditKey(const ProfileName& profile, int64_t version) {
  return fmt::format("{}{:03}", AuditPrefix(profile), version % kAuditSlots);
}

std::string RefusedAuditKey(const ProfileName& profile,
                            std::string_view edit_id) {
  return fmt::format("{}refused-{:02}", AuditPrefix(profile),
                     parts::StableHash(edit_id, 0) % kRefusedSlots);
}

std::string EncodeAuditRecord(const AuditRecord& record) {
  json differences = json::array();
  std::ranges::transform(record.differences, std::back_inserter(differences),
                         &ToJson);
  return Dump({{"profile", record.profile.value()},
               {"edit_id", record.edit_id},
               {"who", record.who},
               {"through", record.through.value()},
               {"when_us", record.when.time_since_epoch().count()},
               {"reason", record.reason},
               {"from_revision", record.from_revision},
               {"to_revision", record.to_revision},
               {"deleted", record.deleted},
               {"outcome", AuditOutcomeName(record.outcome)},
               {"differences", differences},
               {"shortened", record.shortened}});
}

absl::StatusOr<AuditRecord> DecodeAuditRecord(std::string_view text) {
  const std::string source = "audit record";
  auto parsed = ParseJsonWithComments(text, source, ResultCode::kInternal);
  if (!parsed.ok()) {
    return parsed.status();
  }
  FieldProblems problems;
  FieldReader reader(*parsed, "", problems);
  const TextRule may_be_empty = {.fallback = "", .may_be_empty = true};
  AuditRecord record;
  record.profile = ProfileName(reader.Text("profile"));
  record.edit_id = reader.Text("edit_id", may_be_empty);
  record.who = reader.Text("who", may_be_empty);
  record.through = InstanceId(reader.Text("through", may_be_empty));
  record.when = WallTime(Duration(reader.Integer("when_us", {.fallback = 0})));
  record.reason = reader.Text("reason", may_be_empty);
  record.from_revision = reader.Integer("from_revision", {.fallback = 0});
  record.to_revision = reader.Integer("to_revision", {.fallback = 0});
  record.deleted = reader.Flag("deleted", false);
  record.outcome = ReadOutcome(reader);
  for (FieldReader& difference : reader.Objects("differences")) {
    record.differences.push_back(ReadDifference(difference));
  }
  record.shortened = reader.Flag("shortened", false);
  if (!problems.empty()) {
    return problems.ToStatus(ResultCode::kInternal, source);
  }
  return record;
}

std::vector<AuditRecord> AuditRecordsOf(
    const std::vector<StoreEntry>& entries) {
  std::vector<AuditRecord> records;
  for (const StoreEntry& entry : entries) {
    auto record = DecodeAuditRecord(entry.value);
    if (!record.ok()) {
      continue;
    }
    if (record->outcome == AuditOutcome::kAccepted) {
      record->to_revision = entry.mod_revision;
    }
    records.push_back(*std::move(record));
  }
  std::ranges::sort(records, {}, &AuditRecord::when);
  return records;
}

}  // namespace oleander
