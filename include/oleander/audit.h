// Audit records of changes to profiles, stored in the key-value service.
//
// A record is written in the same transaction as the change itself, so that
// neither exists without the other, also if the reply to the write was lost.
// The records of a profile form a ring of kAuditSlots keys, which bounds the
// stored data:
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

// The outcome of an edit.
enum class AuditOutcome { kAccepted, kConflict, kRefused };

std::string_view AuditOutcomeName(AuditOutcome outcome);

// One changed field. The values are JSON texts; empty if the field was absent.
struct AuditDifference {
  std::string path;  // Such as "latency.first_token_ms".
  std::string from;  // Before the change.
  std::string to;    // After the change.

  bool operator==(const AuditDifference&) const = default;
};

struct AuditRecord {
  ProfileName profile;
  std::string edit_id;
  std::string who;     // The operator's name in the operator API.
  InstanceId through;  // The instance that wrote the record.
  WallTime when;
  std::string reason;
  int64_t from_revision = 0;  // Zero if the profile was created.
  // For an accepted edit, AuditRecordsOf() takes it from the record's key.
  int64_t to_revision = 0;
  bool deleted = false;
  AuditOutcome outcome = AuditOutcome::kAccepted;
  std::vector<AuditDifference> differences = {};
  bool shortened = false;  // The reason or the differences were cut for size.

  bool operator==(const AuditRecord&) const = default;
};

// Returns the fields in which two documents differ, sorted by path. A list
// counts as one field. An empty document counts as {}.
std::vector<AuditDifference> DifferencesOf(std::string_view from_document,
                                           std::string_view to_document);

// Cuts a long reason and removes differences from the end until the record
// fits into `max_bytes`.
void ShortenToFit(AuditRecord& record, size_t max_bytes);

// Returns the key of the record of the profile's key at `version`.
std::string AuditKey(const ProfileName& profile, int64_t version);
// Returns the prefix of the keys of all records of the profile.
std::string AuditPrefix(const ProfileName& profile);
// Returns the key of the record of a refused edit. These records form a
// separate, smaller ring.
std::string RefusedAuditKey(const ProfileName& profile,
                            std::string_view edit_id);
std::string EncodeAuditRecord(const AuditRecord& record);
absl::StatusOr<AuditRecord> DecodeAuditRecord(std::string_view text);

// Returns the records in the entries that a read of AuditPrefix() returned,
// oldest first. Entries that can't be decoded are skipped.
std::vector<AuditRecord> AuditRecordsOf(const std::vector<StoreEntry>& entries);

}  // namespace oleander

#endif  // OLEANDER_AUDIT_H_
