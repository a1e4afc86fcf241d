#include "io/sse_parser.h"

#include <fmt/format.h>

#include <utility>

#include "oleander/result_code.h"

namespace oleander::io {

absl::StatusOr<std::vector<SseEvent>> SseParser::Feed(std::string_view piece) {
  std::vector<SseEvent> events;
  while (!piece.empty()) {
    if (std::exchange(after_carriage_return_, false) && piece.front() == '\n') {
      piece.remove_prefix(1);
      continue;
    }
    const size_t line_end = piece.find_first_of("\r\n");
    const std::string_view part = piece.substr(0, line_end);
    if (line_.size() + current_.data.size() + part.size() > max_event_bytes_) {
      return MakeError(
          ResultCode::kBadAnswer,
          fmt::format("An event of the answer is longer than {} bytes.",
                      max_event_bytes_));
    }
    line_.append(part);
    if (line_end == std::string_view::npos) {
      break;
    }
    after_carriage_return_ = piece[line_end] == '\r';
    piece.remove_prefix(line_end + 1);
    ProcessLine(events);
  }
  return events;
}

void SseParser::ProcessLine(std::vector<SseEvent>& events) {
  const std::string line = std::exchange(line_, {});
  if (line.empty()) {
    if (has_data_) {
      events.push_back(std::move(current_));
    }
    current_ = {};
    has_fields_ = false;
    has_data_ = false;
    return;
  }
  const size_t colon = line.find(':');
  if (colon == 0) {
    return;  // A comment.
  }
  const std::string_view text(line);
  std::string_view value =
      colon == std::string::npos ? std::string_view() : text.substr(colon + 1);
  if (value.starts_with(' ')) {
    value.remove_prefix(1);
  }
  has_fields_ = true;
  SetField(text.substr(0, colon), value);
}

void SseParser::SetField(std::string_view name, std::string_view value) {
  if (name == "data") {
    if (std::exchange(has_data_, true)) {
      current_.data += '\n';
    }
    current_.data += value;
  } else if (name == "event") {
    current_.event = value;
  } else if (name == "id") {
    current_.id = value;
  }
}

}  // namespace oleander::io
