// Cuts a stream of server-sent events into whole events without rewriting a
// byte, so that a stream that breaks can go on elsewhere from its last whole
// event.
//
//   EventCutter cutter(kMaxEventBytes);
//   auto whole = cutter.Feed("id: 3\ndata: a\n\nid: 4\n");
//   // *whole is "id: 3\ndata: a\n\n"; cutter.last_id() is "3".
#ifndef OLEANDER_EVENT_CUTTER_H_
#define OLEANDER_EVENT_CUTTER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace oleander {

class EventCutter {
 public:
  explicit EventCutter(size_t max_event_bytes)
      : max_event_bytes_(max_event_bytes) {}

  // The bytes of the events that `piece` completes, in order. kBadAnswer where
  // an event is longer than allowed; the cutter must not be fed again then.
  absl::StatusOr<std::string> Feed(std::string_view piece);

  // Forgets a part of an event; the next piece comes from another server.
  void DropPartialEvent();

  // Whether no part of an event is waiting.
  bool at_boundary() const { return buffer_.empty(); }
  // The id of the last whole event; empty before the first.
  const std::string& last_id() const { return last_id_; }
  uint64_t events() const { return events_; }

 private:
  // Where the last whole event in buffer_ ends, looking from `from` on; notes
  // the ids of the events that it passes.
  size_t ScanEvents();
  void ProcessLine(std::string_view line);

  size_t max_event_bytes_;
  std::string buffer_;
  size_t scanned_ = 0;  // Up to here buffer_ holds whole lines that were read.
  std::string pending_id_;  // Of the event that is being read.
  bool has_lines_ = false;
  std::string last_id_;
  uint64_t events_ = 0;
};

}  // namespace oleander

#endif  // OLEANDER_EVENT_CUTTER_H_
