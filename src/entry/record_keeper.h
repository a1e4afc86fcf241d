// Writes the record of this instance into the store and reads the records of
// all instances.
//
// Each instance writes its usage counts once per usage window and reads all
// records shortly after. So the holder of the usage duty finds all counts in
// one place, also those of instances that have ended, and all instances learn
// how many instances are live and the addresses of their peers. The cost is one
// write and at most one read per window and instance.
#ifndef OLEANDER_ENTRY_RECORD_KEEPER_H_
#define OLEANDER_ENTRY_RECORD_KEEPER_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "entry/call_context.h"
#include "entry/settings.h"
#include "oleander/usage_windows.h"
#include "ports/store_port.h"

namespace oleander::entry {

// One run of an instance, decoded from its record.
struct InstanceRecord {
  std::string key;  // In the store.
  InstanceId instance;
  DomainId domain;
  RegionId region;
  double cores = 0;
  std::string address;
  uint16_t mesh_port = 0;
  int64_t closed_window = 0;  // Counts up to this window are final.
  std::map<int64_t, UsageCounts> windows;
  bool alive = false;  // The record was rewritten recently.
};

// Keeps the records; owned by the entry node.
class RecordKeeper {
 public:
  // `reads_each_window` returns whether this instance needs the counts of every
  // window; otherwise it reads every second window. `on_records` is called
  // after each successful read.
  RecordKeeper(CallContext& context, ports::StorePort& store,
               const EntrySettings& settings, std::string run_id,
               std::function<bool()> reads_each_window,
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
  // Reads the records now, for a caller that waits for a missing record.
  void ReadNow() { Read(); }

  // All runs that have a record, as of the last read.
  const std::vector<InstanceRecord>& records() const { return records_; }
  // Returns the number of live instances, including this one.
  size_t live_instances() const;

 private:
  void ScheduleWrite();
  void ScheduleRead();
  void Write(int64_t closed_window, std::function<void()> done);
  std::string Encode(int64_t closed_window) const;
  void Read();
  void OnRead(const absl::StatusOr<StoreRangeAnswer>& answer);
  // Adds the known records that are missing from the restored store.
  void RetainMissing(std::vector<InstanceRecord>& records) const;
  // Removes records that have not been rewritten for a long time.
  void RemoveStale(const std::vector<std::string>& keys);

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
  std::function<bool()> reads_each_window_;
  std::function<void()> on_records_;
  std::vector<InstanceRecord> records_;
  absl::flat_hash_map<std::string, Observation> observations_;
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
