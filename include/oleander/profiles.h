// The profiles in force on this instance, and how changes of them spread.
//
// A profile lives under one key of the key-value service; its revision is that
// key's mod_revision. A few instances per failure domain watch the service and
// tell their neighbours; whoever is behind pulls. Every instance also polls
// slowly. No instance ever applies a lower revision, and a delete is a
// tombstone, a revision like any other.
//
//   ProfileStore profiles(self, {}, seed, now);
//   profiles.OnMembers(live, neighbours, now);
//   profiles.OnDigest(from, digest, now);   // Came with a heartbeat.
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

// One revision of one profile as it is kept and spread.
struct ProfileRevision {
  ProfileName name;
  int64_t revision = 0;  // The key's mod_revision.
  int64_t version = 0;   // The key's version; picks the audit slot.
  std::string value;     // As in the key-value service.

  bool operator==(const ProfileRevision&) const = default;
};

// The parsed value of a profile's key.
struct ProfileValue {
  std::string edit_id = {};
  std::string who = {};
  WallTime when = {};
  std::string reason = {};
  bool deleted = false;
  std::string document = {};  // As the operator wrote it.

  bool operator==(const ProfileValue&) const = default;
};

std::string EncodeProfileValue(const ProfileValue& value);
absl::StatusOr<ProfileValue> DecodeProfileValue(std::string_view text);

// All revisions an instance has, in short. Carried by every heartbeat.
struct ProfileDigest {
  int64_t highest = 0;
  uint32_t hash = 0;  // Over names and revisions.

  bool operator==(const ProfileDigest&) const = default;
};

struct ProfileRevisionId {
  ProfileName name;
  int64_t revision = 0;

  bool operator==(const ProfileRevisionId&) const = default;
};

// How far one failure domain is with a revision.
struct DomainInForce {
  DomainId domain;
  int in_force = 0;
  int members = 0;  // Live ones, as the answering instance knows.
  std::vector<InstanceId> behind = {};  // Live, but not known to have it.
  bool reached = false;                 // Some instance of the domain answered.

  bool operator==(const DomainInForce&) const = default;
};

enum class ProfileMessageKind {
  kAnnounce = 0,      // Only the digest.
  kPull = 1,          // `have` tells what the sender has.
  kPush = 2,          // `revisions`, in answer to a pull.
  kInForceQuery = 3,  // Is `query` in force with you?
  kInForceAnswer = 4,
  kDomainQuery = 5,  // How far is your domain with `query`?
  kDomainAnswer = 6,
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
  std::string edit_id;   // Unique; the caller may send its own to retry safely.
  std::string document;  // Empty with `remove`.
  bool remove = false;
  // The revision the edit is based on; nothing: whatever is there, zero: none.
  std::optional<int64_t> base;
  std::string who;
  std::string reason;
  WallTime when;
};

struct ProfileOptions {
  // Its mod_revision is that of the last change of any profile.
  std::string head_key = "/oleander/profile-head";
  std::string prefix = "/oleander/profiles/";
  int watchers_per_domain = 2;
  // A failure domain reads everything about once in this, whoever does it.
  Duration poll_interval = std::chrono::seconds(60);
  // A watcher reads the head so often, since a watch may go silent unnoticed.
  Duration head_poll_interval = std::chrono::seconds(4);
  // Of a watcher whose watch is down, and of an instance that hears nobody.
  Duration isolated_poll_interval = std::chrono::seconds(3);
  Duration pull_timeout = std::chrono::milliseconds(400);
  Duration edit_timeout = std::chrono::seconds(8);
  Duration in_force_query_interval = std::chrono::milliseconds(300);
  Duration stale_after = std::chrono::seconds(10);
  size_t max_value_bytes = size_t{256} << 10;
  size_t max_push_bytes = size_t{512} << 10;
  // The same news is last_query from the same peer again only after this.
  Duration pull_retry_interval = std::chrono::seconds(5);
  Duration edit_retry_interval = std::chrono::milliseconds(300);
};

struct SendProfileMessage {
  InstanceId to;
  ProfileMessage message;
};
// A higher revision is in force here now; `profile` is empty for a tombstone.
struct ProfileApplied {
  ProfileName name;
  int64_t revision = 0;
  std::string edit_id;
};
// The answer to an edit. OK: it took effect as `revision`. kStoreAnswerLost: it
// may have; the same edit id sent again finds out.
struct EditDone {
  std::string edit_id;
  absl::Status status;
  int64_t revision = 0;               // Of a conflict: the one that is there.
  std::string current_document = {};  // The other side of a conflict.
  AuditRecord record = {};
};
// Progress of WaitInForce(); `done` ends it.
struct InForceReport {
  uint64_t wait = 0;
  bool done = false;
  std::vector<DomainInForce> domains;
};

using ProfileAction = std::variant<StoreRequest, SendProfileMessage,
                                   ProfileApplied, EditDone, InForceReport>;

// One profile as an operator sees it.
struct ProfileState {
  ProfileName name;
  int64_t revision = 0;
  bool deleted = false;
  ProfileValue value;
  // In force; empty for a tombstone. Where the newest document does not pass
  // this program's checks, the last one that did, and `problem` tells.
  std::optional<Profile> profile;
  absl::Status problem;
};

// How well this instance is connected to news.
struct ProfileFreshness {
  bool watching = false;
  Duration store_age{};  // Since the key-value service was last heard.
  Duration peer_age{};   // Since any peer's digest was heard.
  bool stale = false;    // Neither for longer than stale_after.
  // Has taken profiles from the service or from a peer since it started.
  bool ready = false;
};

class ProfileStore {
 public:
  ProfileStore(InstanceInfo self, const ProfileOptions& options, uint64_t seed,
               Time now);
  ~ProfileStore();
  ProfileStore(ProfileStore&&) noexcept;
  ProfileStore& operator=(ProfileStore&&) noexcept;

  // Live members with this instance, and those it exchanges heartbeats with.
  void OnMembers(const std::vector<InstanceInfo>& live,
                 const std::vector<InstanceId>& neighbours, Time now);
  void OnDigest(const InstanceId& from, const ProfileDigest& digest, Time now);
  void OnMessage(const InstanceId& from, const ProfileMessage& message,
                 Time now);

  // Starts an edit; EditDone answers it. Faults of the document come at once.
  void Edit(const ProfileEdit& edit, Time now);
  // Reports where `revision` of `name` is in force until it is everywhere or
  // `deadline` has passed.
  uint64_t WaitInForce(const ProfileName& name, int64_t revision, Time deadline,
                       Time now);

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
  std::vector<const ProfileState*> all() const;  // Tombstones included.
  // The profile that a service runs under, or nothing.
  const ProfileState* ForService(const ServiceId& service) const;
  ProfileFreshness freshness(Time now) const;
  bool watcher() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace oleander

#endif  // OLEANDER_PROFILES_H_
