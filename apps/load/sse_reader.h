// Splits a stream of server-sent events into events, as a caller would.
#ifndef OLEANDER_APPS_LOAD_SSE_READER_H_
#define OLEANDER_APPS_LOAD_SSE_READER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace oleander::load {

struct SseEvent {
  std::optional<int64_t> id;
  std::string type;  // Empty for a plain message.
  std::string data;
};

class SseReader {
 public:
  // Calls `visit` for each event that `chunk` completes.
  void Feed(std::string_view chunk,
            const std::function<void(const SseEvent&)>& visit);
  // Discards a partial event; call it before a new stream.
  void Reset();

 private:
  void ProcessLine(std::string_view line);

  std::string partial_line_;
  SseEvent event_;
};

}  // namespace oleander::load

#endif  // OLEANDER_APPS_LOAD_SSE_READER_H_
