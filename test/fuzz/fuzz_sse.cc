// Parses server-sent events from an engine: for any bytes, the events must not
// depend on how the bytes are split into chunks.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>
#include <vector>

#include "io/sse_parser.h"

namespace {

using oleander::io::SseEvent;
using oleander::io::SseParser;

constexpr size_t kMaxEventBytes = 256;

struct Outcome {
  std::vector<SseEvent> events;
  bool ok = true;
};

Outcome Parse(std::string_view bytes, size_t step) {
  SseParser parser(kMaxEventBytes);
  Outcome outcome;
  while (!bytes.empty() && outcome.ok) {
    const std::string_view piece = bytes.substr(0, step);
    bytes.remove_prefix(piece.size());
    auto events = parser.Feed(piece);
    outcome.ok = events.ok();
    if (outcome.ok) {
      outcome.events.insert(outcome.events.end(), events->begin(),
                            events->end());
    }
  }
  return outcome;
}

bool Same(const SseEvent& a, const SseEvent& b) {
  return a.id == b.id && a.event == b.event && a.data == b.data;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  if (size == 0) {
    return 0;
  }
  const size_t step = 1 + data[0] % 16;
  const std::string_view bytes(reinterpret_cast<const char*>(data) + 1,
                               size - 1);
  const Outcome whole = Parse(bytes, bytes.size() + 1);
  const Outcome pieces = Parse(bytes, step);
  if (whole.ok != pieces.ok) {
    std::abort();
  }
  if (!whole.ok) {
    return 0;
  }
  if (whole.events.size() != pieces.events.size()) {
    std::abort();
  }
  for (size_t i = 0; i < whole.events.size(); ++i) {
    if (!Same(whole.events[i], pieces.events[i])) {
      std::abort();
    }
  }
  return 0;
}
