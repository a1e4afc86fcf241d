// Reads server-sent events from the pieces of a streamed body.
#ifndef OLEANDER_IO_SSE_PARSER_H_
#define OLEANDER_IO_SSE_PARSER_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"

namespace oleander::io {

struct SseEvent {
  std::string id;     // Of this event; empty where it has none.
  std::string event;  // Empty stands for "message".
  std::string data;   // Lines joined by line ends.
};

// Feeds on pieces that may be cut anywhere, also inside a line end.
//
//   SseParser parser(kMaxEventBytes);
//   auto events = parser.Feed("id: 3\ndata: {}\n");  // {}: not yet complete
//   events = parser.Feed("\n");                      // one event with id "3"
class SseParser {
 public:
  explicit SseParser(size_t max_event_bytes)
      : max_event_bytes_(max_event_bytes) {}

  // The events that `piece` completes. kBadAnswer where one is longer than
  // allowed; the parser must not be fed again then.
  absl::StatusOr<std::vector<SseEvent>> Feed(std::string_view piece);

  // Whether the body ended between two events.
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
