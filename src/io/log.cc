#include "io/log.h"

#include <fmt/chrono.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>

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
  fmt::memory_buffer line;
  fmt::format_to(fmt::appender(line),
                 "time={:%Y-%m-%dT%H:%M:%S}Z level={} event={}", now,
                 kLevelNames[static_cast<size_t>(level)], event);
  if (!InstanceName().empty()) {
    fmt::format_to(fmt::appender(line), " instance={}", InstanceName());
  }
  for (const LogField& field : fields) {
    fmt::format_to(fmt::appender(line), " {}=", field.key);
    AppendValue(line, field.value);
  }
  line.push_back('\n');
  std::fwrite(line.data(), 1, line.size(), stderr);
}

}  // namespace oleander::io
