#include "oleander/event_cutter.h"

#include <fmt/format.h>

#include <utility>

#include "oleander/result_code.h"

namespace oleander {

absl::StatusOr<std::string> EventCutter::Feed(std::string_view piece) {
  buffer_.append(piece);
  const size_t end = ScanEvents();
  std::string whole = buffer_.substr(0, end);
  buffer_.erase(0, end);
  scanned_ -= end;
  if (buffer_.size() > max_event_bytes_) {
    return MakeError(ResultCode::kBadAnswer,
                     fmt::format("An event of a stream is longer than {} "
                                 "bytes.",
                                 max_event_bytes_));
  }
  return whole;
}

void EventCutter::DropPartialEvent() {
  buffer_.clear();
  scanned_ = 0;
  pending_id_.clear();
  has_lines_ = false;
}

size_t EventCutter::ScanEvents() {
  size_t end = 0;
  size_t line_end = buffer_.find('\n', scanned_);
  while (line_end != std::string::npos) {
    std::string_view line(buffer_.data() + scanned_, line_end - scanned_);
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    scanned_ = line_end + 1;
    if (!line.empty()) {
      ProcessLine(line);
    } else {
      events_ += has_lines_ ? 1 : 0;
      if (!pending_id_.empty()) {
        last_id_ = std::exchange(pending_id_, {});
      }
      has_lines_ = false;
      end = scanned_;
    }
    line_end = buffer_.find('\n', scanned_);
  }
  return end;
}

void EventCutter::ProcessLine(std::string_view line) {
  constexpr std::string_view kIdField = "id:";
  has_lines_ = true;
  if (!line.starts_with(kIdField)) {
    return;
  }
  line.remove_prefix(kIdField.size());
  if (line.starts_with(' ')) {
    line.remove_prefix(1);
  }
  pending_id_ = line;
}

}  // namespace oleander
