// Splits a stream of server-sent events into complete events without changing a
// byte, so that a broken stream can continue at another server after its last
// complete event.
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

  // Returns the bytes of the events that `piece` completes, in order, or
  // kBadAnswer if an event is longer than allowed; don't call Feed() again
  // after that.
  absl::StatusOr<std::string> Feed(std::string_view piece);

  // Discards an incomplete event; the next piece is from another server.
  void DropPartialEvent();

  // Returns whether no incomplete event is buffered.
  bool at_boundary() const { return buffer_.empty(); }
  // Returns the id of the last complete event that had one; empty before the
  // first.
  const std::string& last_id() const { return last_id_; }
  uint64_t events() const { return events_; }

 private:
  // Returns the end of the last complete event in buffer_, scanning from
  // scanned_, and records the ids of the events up to there.
  size_t ScanEvents();
  void ProcessLine(std::string_view line);

  size_t max_event_bytes_;
  std::string buffer_;
  // Lines in buffer_ before this position have been processed.
  size_t scanned_ = 0;
  std::string pending_id_;  // Id of the incomplete event.
  bool has_lines_ = false;
  std::string last_id_;
  uint64_t events_ = 0;
};

}  // namespace oleander

#endif  // OLEANDER_EVENT_CUTTER_H_
