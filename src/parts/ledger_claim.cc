#include "parts/ledger_claim.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/escaping.h"

namespace oleander {
namespace {

using nlohmann::json;

constexpr std::string_view kClaimPrefix = "/oleander/claims/";
constexpr int kClaimVersion = 1;
constexpr auto kStateNames =
    std::to_array<std::pair<ClaimState, std::string_view>>({
        {ClaimState::kOpen, "open"},
        {ClaimState::kDone, "done"},
        {ClaimState::kUnknown, "unknown"},
        {ClaimState::kAbandoned, "abandoned"},
    });

std::string_view StateName(ClaimState state) {
  return std::ranges::find(kStateNames, state,
                           [](const auto& row) { return row.first; })
      ->second;
}

std::optional<ClaimState> ParseState(std::string_view name) {
  const auto row = std::ranges::find(
      kStateNames, name, [](const auto& entry) { return entry.second; });
  return row == kStateNames.end() ? std::nullopt : std::optional(row->first);
}

// Each part is hashed with its length before it, so that different lists of
// parts are never the same input.
std::string Hash128(std::initializer_list<std::string_view> parts) {
  std::string joined;
  for (const std::string_view part : parts) {
    joined += fmt::format("{}:", part.size());
    joined += part;
  }
  const XXH128_hash_t hash = XXH3_128bits(joined.data(), joined.size());
  return fmt::format("{:016x}{:016x}", hash.high64, hash.low64);
}

std::string TextField(const json& object, const char* key) {
  const auto field = object.find(key);
  return field != object.end() && field->is_string() ? field->get<std::string>()
                                                     : std::string();
}

std::optional<StoredAnswer> DecodeAnswer(const json& object) {
  const auto status = object.find("status");
  if (status == object.end() || !status->is_number_integer()) {
    return std::nullopt;
  }
  StoredAnswer answer;
  answer.http_status = status->get<int>();
  answer.content_type = TextField(object, "type");
  if (!absl::Base64Unescape(TextField(object, "body"), &answer.body)) {
    return std::nullopt;
  }
  return answer;
}

}  // namespace

std::string EncodeClaim(const Claim& claim) {
  json object = {{"version", kClaimVersion},
                 {"attempt", claim.attempt},
                 {"holder", claim.holder.value()},
                 {"digest", claim.digest},
                 {"state", StateName(claim.state)}};
  if (claim.answer.has_value()) {
    object["status"] = claim.answer->http_status;
    object["type"] = claim.answer->content_type;
    object["body"] = absl::Base64Escape(claim.answer->body);
  }
  return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<Claim> DecodeClaim(std::string_view value) {
  const json object = json::parse(value, nullptr, /*allow_exceptions=*/false);
  if (!object.is_object() || !object.contains("version") ||
      object["version"] != kClaimVersion) {
    return std::nullopt;
  }
  const std::optional<ClaimState> state =
      ParseState(TextField(object, "state"));
  Claim claim;
  claim.attempt = TextField(object, "attempt");
  claim.holder = InstanceId(TextField(object, "holder"));
  claim.digest = TextField(object, "digest");
  if (!state.has_value() || claim.attempt.empty() || claim.holder.empty()) {
    return std::nullopt;
  }
  claim.state = *state;
  claim.answer = DecodeAnswer(object);
  return claim;
}

std::string CallDigest(const LedgerCall& call) {
  return Hash128({call.method, call.path, call.body});
}

std::string ClaimStoreKey(const WorkspaceId& workspace,
                          const ServiceId& service, const std::string& key) {
  return std::string(kClaimPrefix) +
         Hash128({workspace.value(), service.value(), key});
}

}  // namespace oleander
