#include "io/log.h"

#include <fmt/chrono.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <utility>

#include "absl/container/flat_hash_map.h"

namespace oleander::io {
namespace {

constexpr std::array<std::string_view, 4> kLevelNames = {"debug", "info",
                                                         "warning", "error"};

LogLevel& MinimumLevel() {
  static LogLevel level = LogLevel::kInfo;
  return level;
}

std::string& InstanceName() {
  static std::string name;
  return name;
}

// Further lines of the event in the same second are only counted. The count is
// reported with the event's next written line.
constexpr int kMaxLinesPerEventPerSecond = 40;
// The limit of buffered output while the reader of standard output is slow.
constexpr size_t kMaxBufferedBytes = size_t{256} << 10;
// A pipe that is ready for writing accepts this much without blocking (PIPE_BUF
// is at least 512 in POSIX and 4096 on Linux).
constexpr size_t kMaxWriteBytes = 4096;

// The buffer of lines to standard output or standard error.
class Sink {
 public:
  static Sink& Instance() {
    static Sink sink;
    return sink;
  }

  void SetDescriptor(int fd) { fd_ = fd; }

  void SetFlusher(std::function<void()> schedule) {
    schedule_ = std::move(schedule);
    scheduled_ = false;
  }

  void Append(std::string_view line) {
    if (buffer_.size() + line.size() > kMaxBufferedBytes) {
      ++dropped_;
      return;
    }
    buffer_.append(line);
    if (schedule_ == nullptr) {
      Flush();
    } else if (!scheduled_) {
      scheduled_ = true;
      schedule_();
    }
  }

  void Flush() {
    scheduled_ = false;
    size_t written = 0;
    while (written < buffer_.size() && CanWrite()) {
      const size_t size = std::min(kMaxWriteBytes, buffer_.size() - written);
      const ssize_t done = write(fd_, buffer_.data() + written, size);
      if (done <= 0) {
        break;
      }
      written += static_cast<size_t>(done);
    }
    buffer_.erase(0, written);
  }

  uint64_t TakeDropped() { return std::exchange(dropped_, 0); }

 private:
  bool CanWrite() const {
    pollfd output = {.fd = fd_, .events = POLLOUT, .revents = 0};
    return poll(&output, 1, 0) > 0 && (output.revents & POLLOUT) != 0;
  }

  int fd_ = STDOUT_FILENO;
  std::string buffer_;
  std::function<void()> schedule_;
  bool scheduled_ = false;
  uint64_t dropped_ = 0;  // Lines that did not fit into the buffer.
};

// Limits the number of lines per event and second.
class Sampler {
 public:
  struct Decision {
    bool write = true;
    uint64_t left_out = 0;  // Lines of this event since the last one written.
  };

  Decision Take(std::string_view event, int64_t second) {
    auto& lines_of_event = events_[std::string(event)];
    if (lines_of_event.second != second) {
      lines_of_event.second = second;
      lines_of_event.lines = 0;
    }
    if (++lines_of_event.lines > kMaxLinesPerEventPerSecond) {
      ++lines_of_event.left_out;
      return {.write = false, .left_out = 0};
    }
    return {.write = true,
            .left_out = std::exchange(lines_of_event.left_out, 0)};
  }

 private:
  struct EventLines {
    int64_t second = 0;
    int lines = 0;
    uint64_t left_out = 0;
  };
  absl::flat_hash_map<std::string, EventLines> events_;
};

Sampler& EventSampler() {
  static Sampler sampler;
  return sampler;
}

bool NeedsQuotes(std::string_view value) {
  return value.empty() || std::ranges::any_of(value, [](unsigned char c) {
           return c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 0x7f;
         });
}

void AppendEscaped(fmt::memory_buffer& line, std::string_view value) {
  const auto out = fmt::appender(line);
  for (const unsigned char c : value) {
    if (c == '"' || c == '\\') {
      fmt::format_to(out, "\\{}", static_cast<char>(c));
    } else if (c < ' ' || c == 0x7f) {
      fmt::format_to(out, "\\x{:02x}", c);
    } else {
      line.push_back(static_cast<char>(c));
    }
  }
}

void AppendValue(fmt::memory_buffer& line, std::string_view value) {
  if (!NeedsQuotes(value)) {
    line.append(value);
    return;
  }
  line.push_back('"');
  AppendEscaped(line, value);
  line.push_back('"');
}

}  // namespace

void SetLogLevel(LogLevel level) { MinimumLevel() = level; }

bool ParseLogLevel(std::string_view text, LogLevel& level) {
  const auto* found = std::ranges::find(kLevelNames, text);
  if (found == kLevelNames.end()) {
    return false;
  }
  level = static_cast<LogLevel>(found - kLevelNames.begin());
  return true;
}

void SetLogInstance(std::string_view instance) { InstanceName() = instance; }

void Log(LogLevel level, std::string_view event,
         std::initializer_list<LogField> fields) {
  if (level < MinimumLevel()) {
    return;
  }
  const auto now = std::chrono::floor<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  const auto decision = EventSampler().Take(
      event,
      std::chrono::floor<std::chrono::seconds>(now).time_since_epoch().count());
  if (!decision.write) {
    return;
  }
  fmt::memory_buffer line;
  fmt::format_to(fmt::appender(line),
                 "time={:%Y-%m-%dT%H:%M:%S}.{:03d}Z level={} event={}",
                 std::chrono::floor<std::chrono::seconds>(now),
                 now.time_since_epoch().count() % 1000,
                 kLevelNames[static_cast<size_t>(level)], event);
  if (!InstanceName().empty()) {
    fmt::format_to(fmt::appender(line), " instance={}", InstanceName());
  }
  for (const LogField& field : fields) {
    fmt::format_to(fmt::appender(line), " {}=", field.key);
    AppendValue(line, field.value);
  }
  if (decision.left_out > 0) {
    fmt::format_to(fmt::appender(line), " left_out={}", decision.left_out);
  }
  if (const uint64_t dropped = Sink::Instance().TakeDropped(); dropped > 0) {
    fmt::format_to(fmt::appender(line), " lines_dropped={}", dropped);
  }
  line.push_back('\n');
  Sink::Instance().Append({line.data(), line.size()});
}

void LogToStandardError() { Sink::Instance().SetDescriptor(STDERR_FILENO); }

void SetLogFlusher(std::function<void()> schedule) {
  Sink::Instance().SetFlusher(std::move(schedule));
}

void FlushLog() { Sink::Instance().Flush(); }

}  // namespace oleander::io
