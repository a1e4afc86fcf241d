// Runs RolloutControl at the instance that holds the duty.
//
// A stage is written together with the status for the operators in one
// transaction, on the condition that this instance still holds the duty, that
// the record is the one that the holder knows, and that the order still stands.
// Only then are the instances told, unless the stage merely lowers what the
// target gets. A write without an answer is read back.
//
// Designed for 360 instances, and a store that is slow, away, loses answers or
// is restored from an older copy at any step.
#ifndef OLEANDER_ENTRY_ROLLOUT_DRIVER_H_
#define OLEANDER_ENTRY_ROLLOUT_DRIVER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "entry/call_context.h"
#include "entry/duty_lease.h"
#include "entry/rollout_feed.h"
#include "entry/settings.h"
#include "mesh.pb.h"
#include "oleander/rollout_control.h"
#include "ports/catalog_port.h"
#include "ports/store_port.h"

namespace oleander::entry {

class RolloutDriver {
 public:
  using Send =
      std::function<void(const InstanceId& to, const mesh::Envelope& message)>;

  RolloutDriver(CallContext& context, ports::StorePort& store,
                const ports::CatalogPort& catalog, const DutyLease& lease,
                RolloutFeed& feed, InstanceId self, const RolloutBounds& bounds,
                Send send);

  // This instance has acquired the duty: reads what is stored, then decides.
  void OnTaken();
  // The list of servers, or what the feed knows, has changed.
  void OnServers();
  void OnFeed();
  // Sets the live instances, with this one.
  void SetInstances(std::vector<InstanceId> live);
  // Takes the report of a peer and replies to it.
  void OnReport(const InstanceId& from, const entrywire::RolloutReport& report);
  void OnOwnCounts(const std::vector<RolloutEvidence>& evidence);
  // Returns whether a write has not been answered yet.
  bool busy() const { return !writes_.empty(); }

  // Returns whether a roll-out of the service isn't over. Until then its
  // servers must neither be released nor ordered by load. Holds at every
  // instance, whether it holds the duty or not.
  bool IsUnderRollout(const ServiceId& service) const {
    return feed_.is_active(service);
  }

  // Returns what this instance knows of all roll-outs, as a JSON document for
  // oleanderctl; the holder also writes its evidence.
  std::string Json() const;

 private:
  // A stage that is being written.
  struct Write {
    RolloutStage stage;
    std::string record;  // The value of the record.
  };

  bool may_decide() const;
  void Stop();
  // Reads the duty's key, and begins once what is stored is known.
  void Load();
  void BeginIfLoaded();
  void Begin(int64_t fence);
  // Returns the stages that the store has, or that peers know from a newer
  // content of it; without those that are being written.
  std::vector<RolloutStage> KnownStages() const;
  void Tick();
  void LogDecision(const RolloutControl::Decision& decision) const;
  void Store(const RolloutControl::Decision& decision);
  void OnAnswer(const ServiceId& service,
                const absl::StatusOr<StoreCasAnswer>& answer);
  void ReadBack(const ServiceId& service);
  void OnReadBack(const ServiceId& service,
                  const absl::StatusOr<StoreRangeAnswer>& answer);
  // The record in the store is this one; null: there is none.
  void OnRecord(const ServiceId& service, const StoreEntry* record);
  void OnStored(const ServiceId& service, int64_t revision);
  // Takes the stage as decided and tells all instances.
  void Announce(const std::vector<RolloutStage>& stages);
  void TellAll();
  void Tell(const InstanceId& to, uint64_t known_content, uint64_t report);
  // Tells instances that have not reported lately.
  void TellSilent();
  // Takes records that the feed has read and that are newer than known here.
  void RefreshStored();
  // Writes stages that instances follow and the store lacks: their write
  // failed, or the store was restored from an older copy.
  void RewriteMissing();
  void WriteStageOf(const RolloutStage& stage, const std::string& reason);
  WallTime wall_now() const { return context_.wall_now(); }

  CallContext& context_;
  ports::StorePort& store_;
  const ports::CatalogPort& catalog_;
  const DutyLease& lease_;
  RolloutFeed& feed_;
  InstanceId self_;
  RolloutBounds bounds_;
  Send send_;

  std::vector<InstanceId> live_;
  // Of the duty's key; 0 until it was read.
  int64_t lease_revision_ = 0;
  std::optional<RolloutControl> control_;  // While this instance decides.
  Duration report_interval_{};             // That it assumes.
  std::map<ServiceId, Write> writes_;
  // The records as this holder knows them.
  struct Stored {
    int64_t revision = 0;
    std::optional<RolloutStage> stage;
  };
  std::map<ServiceId, Stored> stored_;
  size_t next_silent_ = 0;  // Where the next round of TellSilent() begins.
  absl::flat_hash_map<InstanceId, Time> reported_at_;
  Time told_silent_at_;
  uint64_t load_round_ = 0;  // Answers to earlier rounds are ignored.
  bool deciding_ = false;
  io::Timer timer_;
  io::Timer load_timer_;
  io::Timer read_timer_;
};

}  // namespace oleander::entry

#endif  // OLEANDER_ENTRY_ROLLOUT_DRIVER_H_
