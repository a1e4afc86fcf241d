// Decides when the memory of the sizing duty is read from the store and written
// to it, so that it outlives the holder (see sizing_memory.h).
//
// The record is read when the duty is acquired. It is written on the condition
// that nobody else has written it since, at most once in some seconds, and only
// if a successor would decide differently.
//
//   archive.OnTaken();                         // Read the record now.
//   archive.OnRead(revision, services);
//   sizing.Restore(now, archive.Find(service, region));
//   if (archive.WantsWrite(now, services)) {   // At each evaluation.
//     archive.OnWriteSent(now);                // If archive.revision() holds.
//   }
//   archive.OnWritten(revision, services);
//
// Designed for one record of all services and regions that is a few kilobytes
// long, in a store whose answers may be lost and that may be restored from an
// older copy.
#ifndef OLEANDER_SIZING_ARCHIVE_H_
#define OLEANDER_SIZING_ARCHIVE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

#include "oleander/sizing_memory.h"
#include "oleander/types.h"

namespace oleander {

using SizedServices = std::map<std::pair<ServiceId, RegionId>, SizingMemory>;

class SizingArchive {
 public:
  // This instance has acquired the duty: the record has to be read again.
  void OnTaken();
  // The record as the store has it: `revision` is zero if there is none.
  // `complete` is false if the record, or an entry of it, may have been lost.
  void OnRead(int64_t revision, SizedServices services, bool complete);

  bool is_read() const { return read_; }
  // Returns what the earlier holder left. Nullopt if nobody has sized the
  // service before; an empty memory if that isn't certain.
  std::optional<SizingMemory> Find(const ServiceId& service,
                                   const RegionId& region) const;

  // Returns whether `services` should be written now, on the condition that the
  // record is at revision().
  bool WantsWrite(Time now, const SizedServices& services) const;
  void OnWriteSent(Time now);
  // The write took effect and made this revision.
  void OnWritten(int64_t revision, SizedServices services);
  // The write failed or may have taken effect. The next one finds out: if its
  // condition fails, OnRead() takes the record that is there.
  void OnWriteFailed() { writing_ = false; }

  int64_t revision() const { return revision_; }

 private:
  bool read_ = false;
  bool complete_ = false;
  bool writing_ = false;
  int64_t revision_ = 0;
  SizedServices stored_;
  std::optional<Time> written_at_;
};

}  // namespace oleander

#endif  // OLEANDER_SIZING_ARCHIVE_H_
