// The profiles in force on this instance, and the distribution of changes.
//
// Each profile is stored under one key of the key-value service; its revision
// is that key's mod_revision. A few instances per failure domain watch the
// service and announce changes to their neighbours by a digest; an instance
// that lacks a revision pulls it. Every instance also polls the service at a
// low rate. No instance applies a lower revision than the one it has. A
// deletion is a tombstone, which has a revision like any other change.
//
//   ProfileStore profiles(self, {}, seed, now);
//   profiles.OnMembers(live, neighbours, now);
//   profiles.OnDigest(from, digest, now);   // From a heartbeat.
//   const Profile* profile = profiles.ForService(service);
#ifndef OLEANDER_PROFILES_H_
#define OLEANDER_PROFILES_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "oleander/audit.h"
#include "oleander/profile.h"
#include "oleander/store.h"
#include "oleander/types.h"

namespace oleander {

// One revision of a profile, as it is stored and sent.
struct ProfileRevision {
  ProfileName name;
  int64_t revision = 0;  // The key's mod_revision.
  int64_t version = 0;  // The key's version; determines the audit record's key.
  std::string value;    // The key's value, see EncodeProfileValue().

  bool operator==(const ProfileRevision&) const = default;
};

// The parsed value of a profile's key.
struct ProfileValue {
  std::string edit_id = {};
  std::string who = {};
  WallTime when = {};
  std::string reason = {};
  bool deleted = false;
  std::string document = {};  // The operator's text, unchanged.

  bool operator==(const ProfileValue&) const = default;
};

// Converts to and from the value of a profile's key (JSON). Decoding returns
// kProfileInvalid for other texts.
std::string EncodeProfileValue(const ProfileValue& value);
absl::StatusOr<ProfileValue> DecodeProfileValue(std::string_view text);

// Summary of all revisions that an instance has; part of every heartbeat.
struct ProfileDigest {
  int64_t highest = 0;  // The highest revision of any profile.
  uint32_t hash = 0;    // Hash of all names and revisions.

  bool operator==(const ProfileDigest&) const = default;
};

// Names one revision of a profile, without its value.
struct ProfileRevisionId {
  ProfileName name;
  int64_t revision = 0;

  bool operator==(const ProfileRevisionId&) const = default;
};

// On how many instances of a failure domain a revision is in force.
struct DomainInForce {
  DomainId domain;
  int in_force = 0;
  int members = 0;  // Live members, in the replying instance's view.
  std::vector<InstanceId> behind = {};  // Live members not known to have it.
  bool reached = false;  // Whether an instance of the domain has replied.

  bool operator==(const DomainInForce&) const = default;
};

enum class ProfileMessageKind {
  kAnnounce = 0,       // Only the digest.
  kPull = 1,           // Requests all revisions newer than those in `known`.
  kPush = 2,           // Reply to kPull, with `revisions`.
  kInForceQuery = 3,   // Queries whether the receiver has `query` in force.
  kInForceAnswer = 4,  // `known` is the sender's revision of that profile.
  kDomainQuery = 5,    // Queries the state of `query` in the receiver's domain.
  kDomainAnswer = 6,   // Reply to kDomainQuery, with `domain`.
};

struct ProfileMessage {
  ProfileMessageKind kind = ProfileMessageKind::kAnnounce;
  ProfileDigest digest = {};
  std::vector<ProfileRevisionId> known = {};
  std::vector<ProfileRevision> revisions = {};
  ProfileRevisionId query = {};
  DomainInForce domain = {};

  bool operator==(const ProfileMessage&) const = default;
};

// An operator's edit.
struct ProfileEdit {
  ProfileName name;
  // Unique; a caller that supplies it can safely retry the edit.
  std::string edit_id;
  std::string document;  // Empty with `remove`.
  bool remove = false;
  // The revision on which the edit is based. Unset: replaces any revision.
  // Zero: the profile must not exist yet.
  std::optional<int64_t> base;
  std::string who;
  std::string reason;
  WallTime when;
};

struct ProfileOptions {
  // Every edit also writes this key, so that its mod_revision is that of the
  // last change of any profile.
  std::string head_key = "/oleander/profile-head";
  std::string prefix = "/oleander/profiles/";
  int watchers_per_domain = 2;
  // The instances of a failure domain together read all profiles about once in
  // this time.
  Duration poll_interval = std::chrono::seconds(60);
  // Watchers read `head_key` in this interval, since a watch may stop
  // delivering events without an error.
  Duration head_poll_interval = std::chrono::seconds(4);
  // Poll interval of an instance that has no profiles yet or is stale, and of a
  // watcher without a watch.
  Duration isolated_poll_interval = std::chrono::seconds(3);
  Duration pull_timeout = std::chrono::milliseconds(400);
  Duration edit_timeout = std::chrono::seconds(8);
  Duration in_force_query_interval = std::chrono::milliseconds(300);
  // See ProfileFreshness::stale.
  Duration stale_after = std::chrono::seconds(10);
  size_t max_value_bytes = size_t{256} << 10;
  // Approximate limit of the values in one push; further pulls get the others.
  size_t max_push_bytes = size_t{512} << 10;
  // Minimum time between two pulls from a peer whose digest has not changed.
  Duration pull_retry_interval = std::chrono::seconds(5);
  Duration edit_retry_interval = std::chrono::milliseconds(300);
};

struct SendProfileMessage {
  InstanceId to;
  ProfileMessage message;
};
// Reports that a higher revision (perhaps a tombstone) is now in force on this
// instance.
struct ProfileApplied {
  ProfileName name;
  int64_t revision = 0;
  std::string edit_id;
};
// The result of an edit. OK: it took effect as `revision`. kProfileStoreDown:
// it did not take effect. kStoreAnswerLost: it may have taken effect; a retry
// with the same edit id finds out.
struct EditDone {
  std::string edit_id;
  absl::Status status;
  int64_t revision = 0;               // After a conflict: the current revision.
  std::string current_document = {};  // After a conflict: the current document.
  AuditRecord record = {};
};
// Progress of WaitInForce(); `done` marks the last report.
struct InForceReport {
  uint64_t wait = 0;
  bool done = false;
  std::vector<DomainInForce> domains;
};

using ProfileAction = std::variant<StoreRequest, SendProfileMessage,
                                   ProfileApplied, EditDone, InForceReport>;

// State of one profile on this instance.
struct ProfileState {
  ProfileName name;
  int64_t revision = 0;
  bool deleted = false;
  ProfileValue value;
  // The profile in force; empty for a tombstone. If the newest document does
  // not pass this program's checks, the last valid one stays in force, and
  // `problem` is the error.
  std::optional<Profile> profile;
  absl::Status problem;
};

// How recently this instance could receive changes.
struct ProfileFreshness {
  bool watching = false;  // Whether this instance has a watch on the service.
  Duration store_age{};   // Since the key-value service's last reply or event.
  Duration peer_age{};    // Since the last digest from any peer.
  bool stale = false;     // Both ages exceed ProfileOptions::stale_after.
  // Whether this instance has received profiles from the service or from a peer
  // since its start.
  bool ready = false;
};

// The profiles of one instance as a state machine: it does no I/O and reads no
// clock. After each call, the caller executes TakeActions(); it calls Tick() at
// next_due().
class ProfileStore {
 public:
  ProfileStore(InstanceInfo self, const ProfileOptions& options, uint64_t seed,
               Time now);
  ~ProfileStore();
  ProfileStore(ProfileStore&&) noexcept;
  ProfileStore& operator=(ProfileStore&&) noexcept;

  // Sets the live members, including this instance, and the neighbours with
  // which this instance exchanges heartbeats.
  void OnMembers(const std::vector<InstanceInfo>& live,
                 const std::vector<InstanceId>& neighbours, Time now);
  // Handles the digest in a peer's heartbeat.
  void OnDigest(const InstanceId& from, const ProfileDigest& digest, Time now);
  void OnMessage(const InstanceId& from, const ProfileMessage& message,
                 Time now);

  // Starts an edit; EditDone reports its result, for an invalid document
  // immediately.
  void Edit(const ProfileEdit& edit, Time now);
  // Starts reports (InForceReport) on where `revision` of `name` is in force.
  // They end when it is in force in all domains, or at `deadline`. Returns the
  // `wait` of the reports.
  uint64_t WaitInForce(const ProfileName& name, int64_t revision, Time deadline,
                       Time now);

  // Results of the store requests in the actions, matched by `call`.
  void OnRange(StoreCall call, const absl::StatusOr<StoreRangeAnswer>& answer,
               Time now);
  void OnCas(StoreCall call, const absl::StatusOr<StoreCasAnswer>& answer,
             Time now);
  void OnWatch(StoreCall call, const absl::StatusOr<StoreWatchEvents>& events,
               Time now);

  void Tick(Time now);
  Time next_due() const;
  std::vector<ProfileAction> TakeActions();

  ProfileDigest digest() const;
  const ProfileState* Find(const ProfileName& name) const;
  // Returns all profiles in order of name, including tombstones.
  std::vector<const ProfileState*> all() const;
  // Returns the profile under which a service runs, or null.
  const ProfileState* ForService(const ServiceId& service) const;
  ProfileFreshness freshness(Time now) const;
  // Returns whether this instance is one of its domain's watchers.
  bool watcher() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace oleander

#endif  // OLEANDER_PROFILES_H_
