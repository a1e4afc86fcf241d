// This instance's record in the store, and everybody's.
//
// Once per window of usage each instance writes its counts; a moment later each
// reads all records. So the holder of the duty finds every count in one place,
// also of instances that have ended since, and all learn how many instances
// serve and where their peers are, at one write and one read a window each.
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

// One run of an instance, as its record tells.
struct InstanceRecord {
  std::string key;  // In the store.
  InstanceId instance;
  DomainId domain;
  RegionId region;
  double cores = 0;
  std::string address;
  uint16_t mesh_port = 0;
  int64_t closed_window = 0;  // Its counts up to this window are final.
  std::map<int64_t, UsageCounts> windows;
  bool alive = false;  // It was written anew of late.
};

class RecordKeeper {
 public:
  // `reads_each_window` tells whether the counts are needed here;
  // `on_records` is called after each reading.
  RecordKeeper(CallContext& context, ports::StorePort& store,
               const EntrySettings& settings, std::string run_id,
               std::function<bool()> reads_each_window,
               std::function<void()> on_records);

  void Start();
  // Writes the counts so far, once, before the process ends.
  void WriteLast(std::function<void()> done);
  // The store came back from an older copy: this instance's record is written
  // again, and records that the copy lacks get time to return.
  void OnNewEra();
  // The agreed clock was changed: windows end at other times.
  void OnClockChange();
  // Reads the records now, for who waits for one that is missing.
  void ReadNow() { Read(); }

  // All runs that have a record, as last read.
  const std::vector<InstanceRecord>& records() const { return records_; }
  // Instances that serve, this one included.
  size_t live_instances() const;

 private:
  void ScheduleWrite();
  void ScheduleRead();
  void Write(int64_t closed_window, std::function<void()> done);
  std::string Encode(int64_t closed_window) const;
  void Read();
  void OnRead(const absl::StatusOr<StoreRangeAnswer>& answer);
  // Adds records that were known and are missing from a copy of the store.
  void RetainMissing(std::vector<InstanceRecord>& records) const;
  void RemoveStale(const std::vector<std::string>& keys);

  // What is remembered of a record between two readings.
  struct Observation {
    int64_t revision = 0;
    int64_t closed_window = 0;
    Time changed_at;
  };
  // Whether a record was written anew between two sightings.
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
  // Revisions of a new era can't be compared with those before.
  bool revisions_restarted_ = false;
  io::Timer era_timer_;
  io::Timer start_timer_;
  io::Timer write_timer_;
  io::Timer read_timer_;
};

}  // namespace oleander::entry

#endif  // OLEANDER_ENTRY_RECORD_KEEPER_H_
