#include "oleander/result_code.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>

namespace oleander {
namespace {

constexpr std::string_view kCodeUrl = "oleander/code";
constexpr std::string_view kRanUrl = "oleander/ran";
constexpr std::string_view kRetryAfterUrl = "oleander/retry_after_us";

using enum ResultCode;
using Canonical = absl::StatusCode;

constexpr auto kTable = std::to_array<ResultCodeInfo>({
    {kMalformedRequest, "malformed_request", 400, Canonical::kInvalidArgument,
     Ran::kNo, "The HTTP request breaks the protocol."},
    {kMalformedJson, "malformed_json", 400, Canonical::kInvalidArgument,
     Ran::kNo, "The body is not the JSON document that the path expects."},
    {kInvalidUtf8, "invalid_utf8", 400, Canonical::kInvalidArgument, Ran::kNo,
     "A text field or header holds bytes that are not UTF-8."},
    {kBodyTooLarge, "body_too_large", 413, Canonical::kInvalidArgument,
     Ran::kNo, "The body is larger than the limit in the settings."},
    {kHeaderTooLarge, "header_too_large", 431, Canonical::kInvalidArgument,
     Ran::kNo, "The headers are larger than the limit in the settings."},
    {kUnknownPath, "unknown_path", 404, Canonical::kNotFound, Ran::kNo,
     "No handler serves the path."},
    {kMethodNotAllowed, "method_not_allowed", 405, Canonical::kInvalidArgument,
     Ran::kNo, "The path does not take the method."},
    {kUnknownService, "unknown_service", 404, Canonical::kNotFound, Ran::kNo,
     "No profile in force names the service."},
    {kUnknownRequest, "unknown_request", 404, Canonical::kNotFound,
     Ran::kUnknown, "No instance in reach holds the request."},
    {kMissingWorkspace, "missing_workspace", 400, Canonical::kInvalidArgument,
     Ran::kNo, "The Oleander-Workspace header is missing or empty."},
    {kBadIdempotencyKey, "bad_idempotency_key", 400,
     Canonical::kInvalidArgument, Ran::kNo,
     "The Idempotency-Key is empty, too long or not printable."},
    {kUnknownProfile, "unknown_profile", 404, Canonical::kNotFound, Ran::kNo,
     "No profile of that name exists."},
    {kMissingToken, "missing_token", 401, Canonical::kUnauthenticated, Ran::kNo,
     "The operator API needs a bearer token."},
    {kWrongToken, "wrong_token", 403, Canonical::kPermissionDenied, Ran::kNo,
     "The bearer token is not the one in the settings."},
    {kUnknownCredential, "unknown_credential", 401, Canonical::kUnauthenticated,
     Ran::kNo, "The request's credential belongs to no workspace."},
    {kOverloaded, "overloaded", 503, Canonical::kResourceExhausted, Ran::kNo,
     "The service has more work than its limits allow."},
    {kDeadlineUnreachable, "deadline_unreachable", 503,
     Canonical::kResourceExhausted, Ran::kNo,
     "The request would miss its latency target."},
    {kWorkspaceOverShare, "workspace_over_share", 429,
     Canonical::kResourceExhausted, Ran::kNo,
     "The workspace uses more than its share while others wait."},
    {kNoServer, "no_server", 503, Canonical::kUnavailable, Ran::kNo,
     "No backend server of the service takes new work."},
    {kNoReplica, "no_replica", 503, Canonical::kUnavailable, Ran::kNo,
     "No second instance in reach can hold the request as the profile "
     "demands."},
    {kMemoryFull, "memory_full", 503, Canonical::kResourceExhausted, Ran::kNo,
     "The instance holds as many requests or bytes as its limits allow."},
    {kDraining, "draining", 503, Canonical::kUnavailable, Ran::kNo,
     "The instance is leaving and takes no new requests."},
    {kConnectFailed, "connect_failed", 502, Canonical::kUnavailable, Ran::kNo,
     "No connection to a backend server could be made."},
    {kRetryBudgetSpent, "retry_budget_spent", 503,
     Canonical::kResourceExhausted, Ran::kNo,
     "A retry was due but the budget for retries is spent."},
    {kNoConfiguration, "no_configuration", 503, Canonical::kUnavailable,
     Ran::kNo, "The instance knows no configuration yet."},
    {kConfigUnproven, "config_unproven", 503, Canonical::kUnavailable, Ran::kNo,
     "The configuration could not be confirmed within the operators' bound, or "
     "a newer one is in force elsewhere."},
    {kQuotaSpent, "quota_spent", 429, Canonical::kResourceExhausted, Ran::kNo,
     "The workspace has used what its quota allows for now."},
    {kPoisonPrompt, "poison_prompt", 503, Canonical::kUnavailable, Ran::kNo,
     "Servers crashed when they began to answer on a part of the prompt."},
    {kPoisonRequest, "poison_request", 503, Canonical::kUnavailable, Ran::kNo,
     "Servers crashed when they ran the same request before."},
    {kStreamVersionGone, "stream_version_gone", 503, Canonical::kUnavailable,
     Ran::kNo,
     "No server of the software version that began the stream takes work, or "
     "that version isn't known."},
    {kServersUnreachable, "servers_unreachable", 503, Canonical::kUnavailable,
     Ran::kNo,
     "The instance reaches no backend server, and neither do the peers that it "
     "asked."},
    {kAnswerLost, "answer_lost", 502, Canonical::kUnknown, Ran::kUnknown,
     "The call was sent but its answer did not arrive."},
    {kServerFailed, "server_failed", 502, Canonical::kUnavailable,
     Ran::kUnknown, "The backend server answered with a failure."},
    {kBadAnswer, "bad_answer", 502, Canonical::kDataLoss, Ran::kUnknown,
     "The backend server's answer breaks its protocol."},
    {kStalled, "stalled", 504, Canonical::kDeadlineExceeded, Ran::kUnknown,
     "The answer made no progress within its bound."},
    {kDeadlinePassed, "deadline_passed", 504, Canonical::kDeadlineExceeded,
     Ran::kUnknown, "The request's deadline passed before it ended."},
    {kCancelled, "cancelled", 499, Canonical::kCancelled, Ran::kUnknown,
     "The caller or an operator cancelled the request."},
    {kAnswerGap, "answer_gap", 502, Canonical::kDataLoss, Ran::kYes,
     "Part of the answer is missing and could not be recomputed."},
    {kRequestGone, "request_gone", 410, Canonical::kNotFound, Ran::kUnknown,
     "The request ended and its answer is kept no longer."},
    {kClaimStoreDown, "claim_store_down", 503, Canonical::kUnavailable,
     Ran::kNo, "The claim could not be written, so the call was not sent."},
    {kKeyReusedWithOtherBody, "key_reused_with_other_body", 422,
     Canonical::kInvalidArgument, Ran::kNo,
     "The Idempotency-Key was used before with another body."},
    {kClaimHolderUnknown, "claim_holder_unknown", 409, Canonical::kUnknown,
     Ran::kUnknown,
     "The claim's holder is gone and the outcome can't be told."},
    {kClaimOpen, "claim_open", 409, Canonical::kAborted, Ran::kUnknown,
     "Another attempt with the same key is still running."},
    {kProfileInvalid, "profile_invalid", 422, Canonical::kInvalidArgument,
     Ran::kNo, "The profile does not pass its checks."},
    {kProfileConflict, "profile_conflict", 409, Canonical::kAborted, Ran::kNo,
     "The profile was changed since the revision that the edit is based on."},
    {kProfileStoreDown, "profile_store_down", 503, Canonical::kUnavailable,
     Ran::kNo,
     "The platform's service can't be reached, so the profile is unchanged."},
    {kProfileTooLarge, "profile_too_large", 413, Canonical::kInvalidArgument,
     Ran::kNo, "The profile is larger than the platform's service allows."},
    {kStoreUnavailable, "store_unavailable", 503, Canonical::kUnavailable,
     Ran::kNo, "The platform's key-value service does not answer."},
    {kStoreBudgetSpent, "store_budget_spent", 503,
     Canonical::kResourceExhausted, Ran::kNo,
     "This instance's share of the key-value service's rate is spent."},
    {kStoreAnswerLost, "store_answer_lost", 503, Canonical::kUnknown,
     Ran::kUnknown,
     "A write was sent to the key-value service and its answer was lost."},
    {kStoreRevisionCompacted, "store_revision_compacted", 503,
     Canonical::kOutOfRange, Ran::kNo,
     "A watch asked for a revision that the key-value service no longer "
     "keeps."},
    {kPlatformRefused, "platform_refused", 503, Canonical::kResourceExhausted,
     Ran::kNo, "The cloud API refused an order."},
    {kLeaseLost, "lease_lost", 503, Canonical::kFailedPrecondition, Ran::kNo,
     "The lease that the order needs is no longer held."},
    {kOrderFenced, "order_fenced", 409, Canonical::kFailedPrecondition,
     Ran::kNo, "The engine refused an order with an old fencing number."},
    {kMeshBadFrame, "mesh_bad_frame", 400, Canonical::kDataLoss, Ran::kNo,
     "A mesh message is truncated or does not parse."},
    {kMeshWrongVersion, "mesh_wrong_version", 400,
     Canonical::kFailedPrecondition, Ran::kNo,
     "A mesh message has a version that this program does not speak."},
    {kMeshQueueFull, "mesh_queue_full", 503, Canonical::kResourceExhausted,
     Ran::kNo, "The send queue to a peer is full."},
    {kMeshPeerUnknown, "mesh_peer_unknown", 404, Canonical::kNotFound, Ran::kNo,
     "No address of the peer is known."},
    {kSettingsUnreadable, "settings_unreadable", 500, Canonical::kNotFound,
     Ran::kNo, "A settings file can't be read or is not JSON with comments."},
    {kSettingsInvalid, "settings_invalid", 500, Canonical::kInvalidArgument,
     Ran::kNo, "A field of the settings is unknown or has a wrong value."},
    {kUsage, "usage", 500, Canonical::kInvalidArgument, Ran::kNo,
     "The command line is wrong."},
    {kDaemonUnreachable, "daemon_unreachable", 500, Canonical::kUnavailable,
     Ran::kNo, "oleanderctl can't reach the daemon."},
    {kInternal, "internal", 500, Canonical::kInternal, Ran::kUnknown,
     "A fault of this program; the log line names it."},
});

std::optional<int64_t> NumberPayload(const absl::Status& status,
                                     std::string_view url) {
  auto payload = status.GetPayload({url.data(), url.size()});
  if (!payload.has_value()) {
    return std::nullopt;
  }
  const std::string text(*payload);
  int64_t number = 0;
  const auto result =
      std::from_chars(text.data(), text.data() + text.size(), number);
  return result.ec == std::errc() ? std::optional(number) : std::nullopt;
}

void SetNumberPayload(absl::Status& status, std::string_view url,
                      int64_t number) {
  status.SetPayload({url.data(), url.size()},
                    absl::Cord(std::to_string(number)));
}

}  // namespace

std::string_view RanName(Ran ran) {
  switch (ran) {
    case Ran::kNo:
      return "no";
    case Ran::kYes:
      return "yes";
    case Ran::kUnknown:
      break;
  }
  return "unknown";
}

std::span<const ResultCodeInfo> ResultCodeTable() { return kTable; }

const ResultCodeInfo& InfoOf(ResultCode code) {
  const auto row = std::ranges::find(kTable, code, &ResultCodeInfo::code);
  return row != kTable.end() ? *row : kTable.back();
}

absl::Status MakeError(ResultCode code, std::string_view message) {
  return MakeError(
      {.code = code, .ran = InfoOf(code).ran, .retry_after = std::nullopt},
      message);
}

absl::Status MakeError(const ErrorDetails& details, std::string_view message) {
  const ResultCodeInfo& info = InfoOf(details.code);
  absl::Status status(info.canonical, {message.data(), message.size()});
  SetNumberPayload(status, kCodeUrl, static_cast<int>(info.code));
  SetNumberPayload(status, kRanUrl, static_cast<int>(details.ran));
  if (details.retry_after.has_value()) {
    SetNumberPayload(status, kRetryAfterUrl, details.retry_after->count());
  }
  return status;
}

ErrorDetails DetailsOf(const absl::Status& status) {
  if (status.ok()) {
    return {.code = kOk, .ran = Ran::kYes, .retry_after = std::nullopt};
  }
  const auto code = NumberPayload(status, kCodeUrl);
  if (!code.has_value()) {
    return {};
  }
  ErrorDetails details;
  details.code = InfoOf(static_cast<ResultCode>(*code)).code;
  details.ran = static_cast<Ran>(NumberPayload(status, kRanUrl).value_or(2));
  if (const auto micros = NumberPayload(status, kRetryAfterUrl)) {
    details.retry_after = Duration(*micros);
  }
  return details;
}

ResultCode CodeOf(const absl::Status& status) { return DetailsOf(status).code; }

std::string ErrorBody(const absl::Status& status) {
  const ErrorDetails details = DetailsOf(status);
  nlohmann::ordered_json error = {
      {"code", static_cast<int>(details.code)},
      {"name", InfoOf(details.code).name},
      {"ran", RanName(details.ran)},
      {"message", std::string(status.message())},
  };
  if (details.retry_after.has_value()) {
    error["retry_after_ms"] =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            *details.retry_after)
            .count();
  }
  const nlohmann::ordered_json body = {{"error", error}};
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace oleander
