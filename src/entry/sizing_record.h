// Keeps the memory of the sizing duty in the store; sizing_archive.h decides
// when it is read and written.
#ifndef OLEANDER_ENTRY_SIZING_RECORD_H_
#define OLEANDER_ENTRY_SIZING_RECORD_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "entry/call_context.h"
#include "oleander/sizing_archive.h"
#include "ports/store_port.h"

namespace oleander::entry {

// Owned by the SizeOrderer.
class SizingRecord {
 public:
  // `on_read` is called after each read of the record.
  SizingRecord(CallContext& context, ports::StorePort& store,
               std::function<void()> on_read)
      : context_(context), store_(store), on_read_(std::move(on_read)) {}

  // Reads the record, again and again until the store answers.
  void Read();
  // Discards answers that are still due. Called when the duty ends.
  void Stop();
  // Returns whether the record was read since Read() was called.
  bool is_read() const { return archive_.is_read(); }
  // Returns what the earlier holder left; see SizingArchive::Find().
  std::optional<SizingMemory> Find(const ServiceId& service,
                                   const RegionId& region) const {
    return archive_.Find(service, region);
  }
  // Writes the memories of all services if a write is due.
  void Write(const SizedServices& services);

 private:
  void OnRead(const absl::StatusOr<StoreRangeAnswer>& answer);
  void OnWritten(const SizedServices& services,
                 const absl::StatusOr<StoreCasAnswer>& answer);
  // Takes the record as it is in the store; nullptr if there is none.
  void Take(const StoreEntry* entry);
  std::string Encode(const SizedServices& services) const;

  CallContext& context_;
  ports::StorePort& store_;
  std::function<void()> on_read_;
  SizingArchive archive_;
  uint64_t round_ = 0;  // Answers of earlier rounds are ignored.
  io::Timer timer_;
};

}  // namespace oleander::entry

#endif  // OLEANDER_ENTRY_SIZING_RECORD_H_
