// Structured logs: one line per event on standard output, as key=value pairs.
//
// Writing never blocks. Lines are buffered while the reader is slow, and lines
// that don't fit into the buffer are counted (`lines_dropped`). At most 40
// lines a second are written for each event; the others are counted
// (`left_out`).
//
//   Log(LogLevel::kInfo, "request.accepted",
//       {{"request", id.value()}, {"replica", replica.value()}});
#ifndef OLEANDER_IO_LOG_H_
#define OLEANDER_IO_LOG_H_

#include <fmt/format.h>

#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>

namespace oleander::io {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

struct LogField {
  template <typename T>
  LogField(std::string_view field_key, const T& field_value)
      : key(field_key), value(fmt::format("{}", field_value)) {}

  std::string_view key;
  std::string value;
};

// Lines below `level` aren't written. The default is kInfo.
void SetLogLevel(LogLevel level);
// Returns whether `text` names a level, and stores that level in `level`.
bool ParseLogLevel(std::string_view text, LogLevel& level);

// Adds the field `instance` to every line.
void SetLogInstance(std::string_view instance);

void Log(LogLevel level, std::string_view event,
         std::initializer_list<LogField> fields);

// Sends the log to standard error, for programs that write their result to
// standard output.
void LogToStandardError();

// Buffers lines until FlushLog(), and calls `schedule` when the first line is
// buffered. Without `schedule` each line is written at once.
void SetLogFlusher(std::function<void()> schedule);
void FlushLog();

}  // namespace oleander::io

#endif  // OLEANDER_IO_LOG_H_
