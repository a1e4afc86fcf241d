// An incremental parser of server-sent events.
#ifndef OLEANDER_IO_SSE_PARSER_H_
#define OLEANDER_IO_SSE_PARSER_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"

namespace oleander::io {

struct SseEvent {
  std::string id;     // Empty if the event itself has no id.
  std::string event;  // Empty means the default type "message".
  std::string data;   // The data lines, joined by '\n'.
};

// Parses a body in pieces, which may be split anywhere, even inside a line end.
//
//   SseParser parser(kMaxEventBytes);
//   auto events = parser.Feed("id: 3\ndata: {}\n");  // {}: not yet complete
//   events = parser.Feed("\n");                      // one event with id "3"
class SseParser {
 public:
  explicit SseParser(size_t max_event_bytes)
      : max_event_bytes_(max_event_bytes) {}

  // Returns the events that `piece` completes, or kBadAnswer if an event is
  // longer than max_event_bytes. After an error the parser must not be used
  // again.
  absl::StatusOr<std::vector<SseEvent>> Feed(std::string_view piece);

  // Returns whether the bytes so far end between two events.
  bool at_boundary() const { return line_.empty() && !has_fields_; }

 private:
  void ProcessLine(std::vector<SseEvent>& events);
  void SetField(std::string_view name, std::string_view value);

  size_t max_event_bytes_;
  std::string line_;
  SseEvent current_;
  bool has_fields_ = false;
  bool has_data_ = false;
  bool after_carriage_return_ = false;
};

}  // namespace oleander::io

#endif  // OLEANDER_IO_SSE_PARSER_H_
