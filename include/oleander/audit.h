// The record of one change of a profile, as kept in the key-value service.
//
// A record is written in the same transaction as the change itself, so that
// neither exists without the other, also where the answer was lost. Records of
// a profile form a ring of kAuditSlots keys, which bounds what the service
// keeps:
//
//   /oleander/audit/NAME/SLOT, where SLOT = version of the profile's key %
//   kAuditSlots
#ifndef OLEANDER_AUDIT_H_
#define OLEANDER_AUDIT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "oleander/store.h"
#include "oleander/types.h"

namespace oleander {

inline constexpr int64_t kAuditSlots = 64;

enum class AuditOutcome { kAccepted, kConflict, kRefused };

std::string_view AuditOutcomeName(AuditOutcome outcome);

// One field that a change touched; values are JSON texts, empty where the field
// was not there.
struct AuditDifference {
  std::string path;  // Such as "latency.first_token_ms".
  std::string from;
  std::string to;

  bool operator==(const AuditDifference&) const = default;
};

struct AuditRecord {
  ProfileName profile;
  std::string edit_id;
  std::string who;     // The operator, as the operator API knows them.
  InstanceId through;  // The instance that wrote it.
  WallTime when;
  std::string reason;
  int64_t from_revision = 0;  // Zero: the profile was created.
  int64_t to_revision = 0;    // Filled in from the key that holds the record.
  bool deleted = false;
  AuditOutcome outcome = AuditOutcome::kAccepted;
  std::vector<AuditDifference> differences = {};
  bool shortened = false;  // Some differences were left out for size.

  bool operator==(const AuditRecord&) const = default;
};

// What two documents differ in, field by field, in order of path. A document
// that is empty counts as {}.
std::vector<AuditDifference> DifferencesOf(std::string_view from_document,
                                           std::string_view to_document);

// Leaves out differences from the end until the record fits into `max_bytes`.
void ShortenToFit(AuditRecord& record, size_t max_bytes);

std::string AuditKey(const ProfileName& profile, int64_t version);
std::string AuditPrefix(const ProfileName& profile);
// Where an edit that was refused is noted; a small ring of its own.
std::string RefusedAuditKey(const ProfileName& profile,
                            std::string_view edit_id);
std::string EncodeAuditRecord(const AuditRecord& record);
absl::StatusOr<AuditRecord> DecodeAuditRecord(std::string_view text);

// The records among what a read of AuditPrefix() gave, oldest first. Entries
// that are no records are left out.
std::vector<AuditRecord> AuditRecordsOf(const std::vector<StoreEntry>& entries);

}  // namespace oleander

#endif  // OLEANDER_AUDIT_H_
