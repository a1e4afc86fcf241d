// Structured logs: one line per event on standard output, as key=value pairs.
//
// Writing never blocks: lines wait in a bounded buffer while nobody reads, and
// what finds no room is counted (`lines_dropped`). Of one event at most some
// dozens of lines a second are written; the others are counted (`left_out`).
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
bool ParseLogLevel(std::string_view text, LogLevel& level);

// Names this process in every line.
void SetLogInstance(std::string_view instance);

void Log(LogLevel level, std::string_view event,
         std::initializer_list<LogField> fields);

// For programs whose standard output is their result.
void LogToStandardError();

// Lines wait until FlushLog(); `schedule` is called when the first of them
// does. Without it each line is written at once.
void SetLogFlusher(std::function<void()> schedule);
void FlushLog();

}  // namespace oleander::io

#endif  // OLEANDER_IO_LOG_H_
