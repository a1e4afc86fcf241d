#include "load/sse_reader.h"

#include <cstdlib>
#include <utility>

namespace oleander::load {

void SseReader::Reset() {
  partial_line_.clear();
  event_ = SseEvent();
}

void SseReader::ProcessLine(std::string_view line) {
  const size_t colon = line.find(':');
  if (colon == std::string_view::npos || colon == 0) {
    return;
  }
  const std::string_view name = line.substr(0, colon);
  std::string_view value = line.substr(colon + 1);
  if (value.starts_with(' ')) {
    value.remove_prefix(1);
  }
  if (name == "id") {
    event_.id = std::strtoll(std::string(value).c_str(), nullptr, 10);
  } else if (name == "event") {
    event_.type = value;
  } else if (name == "data") {
    event_.data += event_.data.empty() ? "" : "\n";
    event_.data += value;
  }
}

void SseReader::Feed(std::string_view chunk,
                     const std::function<void(const SseEvent&)>& visit) {
  partial_line_ += chunk;
  size_t begin = 0;
  size_t end = partial_line_.find('\n');
  while (end != std::string::npos) {
    std::string_view line(partial_line_.data() + begin, end - begin);
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    begin = end + 1;
    if (!line.empty()) {
      ProcessLine(line);
    } else if (!event_.data.empty()) {
      visit(std::exchange(event_, {}));
    }
    end = partial_line_.find('\n', begin);
  }
  partial_line_.erase(0, begin);
}

}  // namespace oleander::load
