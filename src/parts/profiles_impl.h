// The inside of ProfileStore.
#ifndef OLEANDER_PARTS_PROFILES_IMPL_H_
#define OLEANDER_PARTS_PROFILES_IMPL_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/random/random.h"
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
  struct Slot {
    ProfileState state;
    ProfileRevision revision;
  };
  enum class WatchPhase { kOff, kReading, kWatching };
  enum class EditPhase { kReading, kWriting, kSettling, kSearching };
  struct EditUnderWay {
    ProfileEdit edit;
    EditPhase phase = EditPhase::kReading;
    Time deadline;
    Time next_try = Time::max();
    StoreCall call = 0;
    bool lost = false;  // A write was sent and its answer never came.
    std::optional<StoreEntry> base;  // What the write replaces.
    AuditRecord record;
  };
  // Counting who of this domain has a revision in force.
  struct Tally {
    ProfileHave query;
    std::set<InstanceId> in_force;
    std::set<InstanceId> requesters;
    Time asked{};
    Time expires{};
  };
  struct Wait {
    uint64_t id = 0;
    ProfileHave query;
    Time deadline;
    Time next_ask;
    int rounds = 0;
    std::map<DomainId, DomainInForce> domains;
  };
  struct PulledDigest {
    ProfileDigest digest;
    Time when;
  };

  // profiles.cc: what is in force.
  bool Apply(const ProfileRevision& revision, const InstanceId& source);
  void TakeValue(Slot& slot, const ProfileRevision& revision);
  void Reindex();
  ProfileRevision RevisionOf(const StoreEntry& entry) const;
  std::string KeyOf(const ProfileName& name) const;

  // profile_reading.cc: news from the key-value service.
  void ReadAll(Time now);
  void ReadHead(Time now);
  void StartWatch(int64_t from_revision);
  void StopWatch();
  void OnReadAll(const absl::StatusOr<StoreRangeAnswer>& answer, Time now);
  void OnReadHead(const absl::StatusOr<StoreRangeAnswer>& answer, Time now);
  void ScheduleRead(Time now);
  void TickReading(Time now);

  // profile_spreading.cc: news from and to peers, and who has them.
  void Announce(const InstanceId& except);
  void Pull(const InstanceId& from, const ProfileDigest& digest, Time now);
  void OnPull(const InstanceId& from, const ProfileMessage& message, Time now);
  void OnPush(const InstanceId& from, const ProfileMessage& message);
  void OnInForceQuery(const InstanceId& from, const ProfileMessage& message);
  void OnInForceAnswer(const InstanceId& from, const ProfileMessage& message);
  void OnDomainQuery(const InstanceId& from, const ProfileMessage& message,
                     Time now);
  void OnDomainAnswer(const ProfileMessage& message);
  Tally& TallyFor(const ProfileHave& query, Time now);
  void AskDomain(Tally& tally, Time now);
  DomainInForce ResultOf(const Tally& tally) const;
  void TickWaits(Time now);
  void AskDomains(Wait& wait, Time now);
  bool Complete(const Wait& wait) const;
  void Report(const Wait& wait, bool done);
  bool InForce(const ProfileHave& query) const;
  std::vector<ProfileHave> HaveList() const;
  void Send(const InstanceId& to, ProfileMessage message);
  std::vector<InstanceId> LiveIn(const DomainId& domain) const;

  // profile_edits.cc: operators' edits.
  void ReadBase(EditUnderWay& edit);
  void Write(EditUnderWay& edit);
  void Settle(EditUnderWay& edit);
  void SearchAudit(EditUnderWay& edit);
  void OnEditRead(EditUnderWay& edit,
                  const absl::StatusOr<StoreRangeAnswer>& answer, Time now);
  void OnBaseRead(EditUnderWay& edit, std::optional<StoreEntry> current);
  void OnSettled(EditUnderWay& edit, std::optional<StoreEntry> current,
                 Time now);
  void OnSearched(EditUnderWay& edit, const StoreRangeAnswer& answer);
  void OnEditCas(EditUnderWay& edit,
                 const absl::StatusOr<StoreCasAnswer>& answer, Time now);
  void TickEdits(Time now);
  void RetryEdit(EditUnderWay& edit);
  void Accept(EditUnderWay& edit, int64_t revision);
  void Conflict(EditUnderWay& edit, const std::optional<StoreEntry>& current);
  void FinishEdit(EditUnderWay& edit, EditDone done);
  EditUnderWay* EditOf(StoreCall call);
  std::string ValueOf(const EditUnderWay& edit) const;

  template <typename Request>
  void AskStore(Request request) {
    actions_.emplace_back(std::in_place_type<StoreRequest>, std::move(request));
  }
  StoreCall NextCall() { return ++call_; }
  Duration Jittered(Duration duration);

  InstanceInfo self_;
  ProfileOptions options_;
  absl::BitGen gen_;
  std::map<ProfileName, Slot> slots_;
  std::map<ServiceId, ProfileName> by_service_;
  ProfileDigest digest_;
  bool announce_ = false;
  InstanceId announce_except_;

  std::vector<InstanceInfo> live_;
  std::vector<InstanceId> neighbours_;
  bool watcher_ = false;
  WatchPhase watch_ = WatchPhase::kOff;
  StoreCall watch_call_ = 0;
  StoreCall read_call_ = 0;
  StoreCall head_call_ = 0;
  Time next_read_;
  Time next_head_ = Time::max();
  Time store_heard_;
  Time peer_heard_;
  bool ready_ = false;

  InstanceId pulling_from_;
  Time pull_until_{};
  std::map<InstanceId, PulledDigest> pulled_;
  std::vector<Tally> tallies_;
  std::vector<Wait> waits_;
  uint64_t wait_ = 0;

  std::map<std::string, EditUnderWay> edits_;
  StoreCall call_ = 0;
  std::vector<ProfileAction> actions_;
};

}  // namespace oleander

#endif  // OLEANDER_PARTS_PROFILES_IMPL_H_
