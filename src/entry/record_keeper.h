// Writes the record of this instance into the store and reads the records of
// all instances.
//
// Each instance writes its usage counts once per usage window, so the holder of
// the usage duty finds all counts in one place, also those of instances that
// have ended. The same write stores a short record without counts. The other
// instances read only the short ones, which tell how many instances are live
// and the addresses of peers: the counts of hundreds of instances would keep a
// small instance busy for tenths of a second. The cost is one write and at most
// one read per window and instance.
#ifndef OLEANDER_ENTRY_RECORD_KEEPER_H_
#define OLEANDER_ENTRY_RECORD_KEEPER_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "entry/call_context.h"
#include "entry/settings.h"
#include "oleander/report_limit.h"
#include "oleander/usage_windows.h"
#include "ports/store_port.h"

namespace oleander::entry {

// One run of an instance, decoded from its record.
struct InstanceRecord {
  std::string run;  // Instance and run, as in the key of the record.
  InstanceId instance;
  DomainId domain;
  RegionId region;
  double cores = 0;
  std::string address;
  uint16_t mesh_port = 0;
  // Counts up to this window are final; 0 in a record without counts.
  int64_t closed_window = 0;
  std::map<int64_t, UsageCounts> windows;
  bool alive = false;  // The record was rewritten recently.
};

// Keeps the records; owned by the entry node.
class RecordKeeper {
 public:
  // `needs_counts` returns whether this instance needs the counts of every
  // window; otherwise it reads the short records every second window.
  // `on_records` is called after each successful read.
  RecordKeeper(CallContext& context, ports::StorePort& store,
               const EntrySettings& settings, std::string run_id,
               std::function<bool()> needs_counts,
               std::function<void()> on_records);

  // Writes the first record and starts the periodic writes and reads.
  void Start();
  // Writes the counts so far before the process ends. `done` is called once,
  // also after a failed write.
  void WriteLast(std::function<void()> done);
  // Writes the record of this instance again after the store was restored from
  // an older copy. Records that are missing from the copy are retained until
  // their instances have had time to write them again.
  void OnNewEra();
  // Reschedules writes and reads after a change of the agreed clock, which
  // moves the ends of the windows.
  void OnClockChange();
  // Reads the records with counts now, for a caller that waits for a missing
  // one.
  void ReadCounts() { Read(Content::kCounts); }

  // All runs that have a record, as of the last read.
  const std::vector<InstanceRecord>& records() const { return records_; }
  // Returns whether the last read included the counts.
  bool has_counts() const { return has_counts_; }
  // Returns the number of live instances, including this one.
  size_t live_instances() const;

 private:
  enum class Content { kMembers, kCounts };

  void ScheduleWrite();
  void ScheduleRead();
  void Write(int64_t closed_window, std::function<void()> done);
  // Returns the last window whose counts are final by now.
  int64_t LastEndedWindow() const;
  std::string Encode(int64_t closed_window, Content content) const;
  void Read(Content content);
  // Reads what this instance needs.
  void Read() { Read(needs_counts_() ? Content::kCounts : Content::kMembers); }
  void OnRead(Content content, const absl::StatusOr<StoreRangeAnswer>& answer);
  void LogUnreadable(const StoreEntry& entry, const std::string& run);
  // Adds the known records that are missing from the restored store.
  void RetainMissing(std::vector<InstanceRecord>& records) const;
  // Removes the records of runs that have not rewritten them for a long time.
  void RemoveStale(const std::vector<std::string>& runs);

  // State of a record at the last read.
  struct Observation {
    int64_t revision = 0;
    int64_t closed_window = 0;
    Time changed_at;  // When a rewrite was last observed.
  };
  // Returns whether a record was rewritten between two observations.
  bool IsRewritten(const Observation& before, const Observation& after) const;

  CallContext& context_;
  ports::StorePort& store_;
  const EntrySettings& settings_;
  std::string run_id_;
  std::function<bool()> needs_counts_;
  std::function<void()> on_records_;
  std::vector<InstanceRecord> records_;
  bool has_counts_ = false;
  absl::flat_hash_map<std::string, Observation> observations_;  // By run.
  ReportLimit unreadable_runs_;
  int reads_at_start_ = 0;
  int64_t closed_window_ = 0;  // As last written.
  // Set until the first read of a new era: revisions of different eras cannot
  // be compared.
  bool revisions_restarted_ = false;
  io::Timer era_timer_;
  io::Timer start_timer_;
  io::Timer write_timer_;
  io::Timer read_timer_;
};

}  // namespace oleander::entry

#endif  // OLEANDER_ENTRY_RECORD_KEEPER_H_
