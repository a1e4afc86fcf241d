// Implementation of ProfileStore.
#ifndef OLEANDER_PARTS_PROFILES_IMPL_H_
#define OLEANDER_PARTS_PROFILES_IMPL_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/random/distributions.h"
#include "oleander/profiles.h"
#include "oleander/types.h"

namespace oleander {

class ProfileStore::Impl {
 public:
  Impl(InstanceInfo self, const ProfileOptions& options, uint64_t seed,
       Time now);

  void OnMembers(const std::vector<InstanceInfo>& live,
                 const std::vector<InstanceId>& neighbours, Time now);
  void OnDigest(const InstanceId& from, const ProfileDigest& digest, Time now);
  void OnMessage(const InstanceId& from, const ProfileMessage& message,
                 Time now);
  void Edit(const ProfileEdit& edit, Time now);
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

  ProfileDigest digest() const { return digest_; }
  const ProfileState* Find(const ProfileName& name) const;
  std::vector<const ProfileState*> all() const;
  const ProfileState* ForService(const ServiceId& service) const;
  ProfileFreshness freshness(Time now) const;
  bool watcher() const { return watcher_; }

 private:
  struct ProfileSlot {
    ProfileState state;
    ProfileRevision revision;
  };
  enum class WatchPhase { kOff, kReading, kWatching };
  enum class EditPhase { kReading, kWriting, kResolving, kSearchingAudit };
  // An edit reads the current revision (kReading) and writes its own
  // (kWriting). After a lost answer to the write it reads the key again
  // (kResolving). If another edit's revision is there, it searches the audit
  // records for an earlier success of its own (kSearchingAudit).
  struct PendingEdit {
    ProfileEdit edit;
    EditPhase phase = EditPhase::kReading;
    Time deadline;
    Time next_try = Time::max();
    StoreCall call = 0;
    bool answer_lost = false;  // Whether the answer to a sent write was lost.
    std::optional<StoreEntry> base;  // The entry that the write replaces.
    AuditRecord record;
  };
  // Counts the instances of this domain on which a revision is in force, on
  // behalf of `requesters` in other domains and of waits on this instance.
  struct DomainTally {
    ProfileRevisionId query;
    std::set<InstanceId> in_force;
    std::set<InstanceId> requesters;
    Time last_query{};
    Time expires{};
  };
  // A call of WaitInForce() that has not ended yet.
  struct InForceWait {
    uint64_t id = 0;
    ProfileRevisionId query;
    Time deadline;
    Time next_query;
    int rounds = 0;
    std::map<DomainId, DomainInForce> domains;
  };
  // The digest that caused the last pull from a peer.
  struct PulledDigest {
    ProfileDigest digest;
    Time when;
  };

  // profiles.cc: the revisions in force.
  bool Apply(const ProfileRevision& revision, const InstanceId& source);
  void SetValue(ProfileSlot& slot, const ProfileRevision& revision);
  void RebuildServiceIndex();
  ProfileRevision RevisionOf(const StoreEntry& entry) const;
  std::string KeyOf(const ProfileName& name) const;

  // profile_reading.cc: reads and watches of the key-value service.
  void ReadAll(Time now);
  void ReadHead(Time now);
  void StartWatch(int64_t from_revision);
  void StopWatch();
  void OnReadAll(const absl::StatusOr<StoreRangeAnswer>& answer, Time now);
  void OnReadHead(const absl::StatusOr<StoreRangeAnswer>& answer, Time now);
  void ScheduleRead(Time now);
  void TickReads(Time now);

  // profile_spreading.cc: exchange with peers, and where revisions are in
  // force.
  void Announce(const InstanceId& except);
  void StartPull(const InstanceId& from, const ProfileDigest& digest, Time now);
  void OnPull(const InstanceId& from, const ProfileMessage& message, Time now);
  void OnPush(const InstanceId& from, const ProfileMessage& message);
  void OnInForceQuery(const InstanceId& from, const ProfileMessage& message);
  void OnInForceAnswer(const InstanceId& from, const ProfileMessage& message);
  void OnDomainQuery(const InstanceId& from, const ProfileMessage& message,
                     Time now);
  void OnDomainAnswer(const ProfileMessage& message);
  DomainTally& FindOrAddTally(const ProfileRevisionId& query, Time now);
  void QueryLocalDomain(DomainTally& tally, Time now);
  DomainInForce DomainResult(const DomainTally& tally) const;
  void TickWaits(Time now);
  void QueryDomains(InForceWait& wait, Time now);
  bool IsComplete(const InForceWait& wait) const;
  void ReportProgress(const InForceWait& wait, bool done);
  bool IsInForce(const ProfileRevisionId& query) const;
  std::vector<ProfileRevisionId> KnownRevisions() const;
  void Send(const InstanceId& to, ProfileMessage message);
  std::vector<InstanceId> LiveIn(const DomainId& domain) const;

  // profile_edits.cc: operators' edits.
  void ReadBase(PendingEdit& edit);
  void Write(PendingEdit& edit);
  void ReadOutcome(PendingEdit& edit);
  void SearchAudit(PendingEdit& edit);
  void OnEditRead(PendingEdit& edit,
                  const absl::StatusOr<StoreRangeAnswer>& answer, Time now);
  void OnBaseRead(PendingEdit& edit, std::optional<StoreEntry> current);
  void OnOutcomeRead(PendingEdit& edit, std::optional<StoreEntry> current,
                     Time now);
  void OnAuditRead(PendingEdit& edit, const StoreRangeAnswer& answer);
  void OnEditCas(PendingEdit& edit,
                 const absl::StatusOr<StoreCasAnswer>& answer, Time now);
  void TickEdits(Time now);
  void RetryEdit(PendingEdit& edit);
  void Accept(PendingEdit& edit, int64_t revision);
  void Conflict(PendingEdit& edit, const std::optional<StoreEntry>& current);
  void FinishEdit(PendingEdit& edit, EditDone done);
  PendingEdit* FindEdit(StoreCall call);
  std::string ValueOf(const PendingEdit& edit) const;

  template <typename Request>
  void SendStoreRequest(Request request) {
    actions_.emplace_back(std::in_place_type<StoreRequest>, std::move(request));
  }
  StoreCall NextCall() { return ++last_call_; }
  Duration Jittered(Duration duration);

  InstanceInfo self_;
  ProfileOptions options_;
  std::mt19937_64 gen_;
  std::map<ProfileName, ProfileSlot> slots_;
  std::map<ServiceId, ProfileName> by_service_;
  ProfileDigest digest_;
  bool announce_pending_ = false;
  InstanceId announce_except_;

  std::vector<InstanceInfo> live_;
  std::vector<InstanceId> neighbours_;
  bool watcher_ = false;
  WatchPhase watch_phase_ = WatchPhase::kOff;
  StoreCall watch_call_ = 0;
  StoreCall read_call_ = 0;
  StoreCall head_call_ = 0;
  Time next_read_;
  Time next_head_ = Time::max();
  Time store_last_reply_;
  Time last_digest_received_;
  bool ready_ = false;

  InstanceId pulling_from_;
  Time pull_until_{};
  std::map<InstanceId, PulledDigest> pulled_;
  std::vector<DomainTally> tallies_;
  std::vector<InForceWait> waits_;
  uint64_t last_wait_id_ = 0;

  std::map<std::string, PendingEdit> edits_;
  StoreCall last_call_ = 0;
  std::vector<ProfileAction> actions_;
};

}  // namespace oleander

#endif  // OLEANDER_PARTS_PROFILES_IMPL_H_
