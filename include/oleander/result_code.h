// The numbered result codes, and functions to attach them to an absl::Status.
//
// docs/RESULT_CODES.md lists them; a test compares that page with the table in
// result_code.cc.
#ifndef OLEANDER_RESULT_CODE_H_
#define OLEANDER_RESULT_CODE_H_

#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "oleander/types.h"

namespace oleander {

enum class ResultCode : int {
  kOk = 0,
  // 11xx: the request itself is wrong.
  kMalformedRequest = 1101,
  kMalformedJson = 1102,
  kInvalidUtf8 = 1103,
  kBodyTooLarge = 1104,
  kHeaderTooLarge = 1105,
  kUnknownPath = 1106,
  kMethodNotAllowed = 1107,
  kUnknownService = 1108,
  kUnknownRequest = 1109,
  kMissingWorkspace = 1110,
  kBadIdempotencyKey = 1111,
  kUnknownProfile = 1112,
  // 12xx: authentication and authorization.
  kMissingToken = 1201,
  kWrongToken = 1202,
  kUnknownCredential = 1203,
  // 21xx: refused before it ran.
  kOverloaded = 2101,
  kDeadlineUnreachable = 2102,
  kWorkspaceOverShare = 2103,
  kNoServer = 2104,
  kNoReplica = 2105,
  kMemoryFull = 2106,
  kDraining = 2107,
  kConnectFailed = 2108,
  kRetryBudgetSpent = 2109,
  kNoConfiguration = 2110,
  kConfigUnproven = 2111,
  kQuotaSpent = 2112,
  kPoisonPrompt = 2113,
  kPoisonRequest = 2114,
  kStreamVersionGone = 2115,
  kServersUnreachable = 2116,
  // 22xx: failed, and may have run.
  kAnswerLost = 2201,
  kServerFailed = 2202,
  kBadAnswer = 2203,
  kStalled = 2204,
  kDeadlinePassed = 2205,
  kCancelled = 2206,
  kAnswerGap = 2207,
  kRequestGone = 2208,
  // 23xx: calls that must not run twice.
  kClaimStoreDown = 2301,
  kKeyReusedWithOtherBody = 2302,
  kClaimHolderUnknown = 2303,
  kClaimOpen = 2304,
  // 31xx: profiles.
  kProfileInvalid = 3101,
  kProfileConflict = 3102,
  kProfileStoreDown = 3103,
  kProfileTooLarge = 3104,
  // 41xx: the platform.
  kStoreUnavailable = 4101,
  kStoreBudgetSpent = 4102,
  kStoreAnswerLost = 4103,
  kStoreRevisionCompacted = 4104,
  kPlatformRefused = 4105,
  kLeaseLost = 4106,
  kOrderFenced = 4107,
  // 42xx: the mesh.
  kMeshBadFrame = 4201,
  kMeshWrongVersion = 4202,
  kMeshQueueFull = 4203,
  kMeshPeerUnknown = 4204,
  // 51xx: settings and the command line.
  kSettingsUnreadable = 5101,
  kSettingsInvalid = 5102,
  kUsage = 5103,
  kDaemonUnreachable = 5104,
  // 91xx: faults of this program.
  kInternal = 9101,
};

// Whether a request ran on a backend server. `kNo` guarantees that it didn't
// and never will.
enum class Ran { kNo, kYes, kUnknown };

std::string_view RanName(Ran ran);

// One row of the table of result codes.
struct ResultCodeInfo {
  ResultCode code;
  std::string_view name;  // snake_case, as in error bodies.
  int http_status;        // Status of the HTTP response.
  absl::StatusCode canonical;
  Ran ran;                   // Unless the error overrides it.
  std::string_view meaning;  // One sentence, also in docs/RESULT_CODES.md.
};

// Returns every result code but kOk, in ascending order.
std::span<const ResultCodeInfo> ResultCodeTable();

// Returns the row of `code`, or the row of kInternal for a number that isn't in
// the table.
const ResultCodeInfo& InfoOf(ResultCode code);

// The machine-readable parts of an error.
struct ErrorDetails {
  ResultCode code = ResultCode::kInternal;
  Ran ran = Ran::kUnknown;
  std::optional<Duration> retry_after;
};

// Returns a status with the code's canonical absl code. `message` is a full
// sentence that contains the offending value.
absl::Status MakeError(ResultCode code, std::string_view message);

// The same with `ran` and `retry_after`; `ran` replaces the value in the table.
absl::Status MakeError(const ErrorDetails& details, std::string_view message);

// Returns the details of a status; kInternal for one that carries no result
// code.
ErrorDetails DetailsOf(const absl::Status& status);

ResultCode CodeOf(const absl::Status& status);

// Returns the JSON error body (DESIGN section 2):
std::string ErrorBody(const absl::Status& status);

}  // namespace oleander

#endif  // OLEANDER_RESULT_CODE_H_
