// Structured logs: one line per event on standard error, as key=value pairs.
//
//   Log(LogLevel::kInfo, "request.accepted",
//       {{"request", id.value()}, {"replica", replica.value()}});
#ifndef OLEANDER_IO_LOG_H_
#define OLEANDER_IO_LOG_H_

#include <fmt/format.h>

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

}  // namespace oleander::io

#endif  // OLEANDER_IO_LOG_H_
