#include "rollout_log.h"

#include <charconv>
#include <map>
#include <ranges>
#include <string>

namespace oleander::ctl {
namespace {

using nlohmann::json;

constexpr std::string_view kRolloutEvents = "rollout.";

// Reads a quoted value from behind its opening quote and removes it from
// `rest`. Returns false if it has no end.
bool TakeQuoted(std::string_view& rest, std::string& value) {
  for (size_t i = 0; i < rest.size(); ++i) {
    if (rest[i] == '"') {
      rest.remove_prefix(i + 1);
      return true;
    }
    if (rest[i] != '\\') {
      value.push_back(rest[i]);
      continue;
    }
    ++i;
    const bool is_byte = i + 2 < rest.size() && rest[i] == 'x';
    if (is_byte) {
      int byte = 0;
      std::from_chars(&rest[i + 1], &rest[i + 1] + 2, byte, 16);
      value.push_back(static_cast<char>(byte));
      i += 2;
    } else if (i < rest.size()) {
      value.push_back(rest[i]);
    }
  }
  return false;
}

std::string TextOf(const json& line, const char* key) {
  return line.value(key, std::string());
}

}  // namespace

json ParseLogLine(std::string_view line) {
  json fields = json::object();
  while (!line.empty()) {
    const size_t equals = line.find('=');
    if (equals == std::string_view::npos || equals == 0) {
      return nullptr;
    }
    const std::string key(line.substr(0, equals));
    line.remove_prefix(equals + 1);
    std::string value;
    if (line.starts_with('"')) {
      line.remove_prefix(1);
      if (!TakeQuoted(line, value)) {
        return nullptr;
      }
    } else {
      value = line.substr(0, line.find(' '));
      line.remove_prefix(value.size());
    }
    fields[key] = value;
    line.remove_prefix(
        std::min<size_t>(line.starts_with(' ') ? 1 : 0, line.size()));
  }
  return fields.contains("event") ? fields : json(nullptr);
}

json RolloutLines(std::string_view log) {
  json lines = json::array();
  for (const auto part : log | std::views::split('\n')) {
    const std::string_view line(part.begin(), part.end());
    if (line.find(kRolloutEvents) == std::string_view::npos) {
      continue;
    }
    json fields = ParseLogLine(line);
    if (fields.is_object() &&
        TextOf(fields, "event").starts_with(kRolloutEvents)) {
      lines.push_back(std::move(fields));
    }
  }
  return lines;
}

json StagesIn(const json& lines) {
  std::map<std::string, json> stages;
  for (const json& line : lines) {
    const std::string event = TextOf(line, "event");
    const std::string service = TextOf(line, "service");
    if (event == "rollout.ordered" && !stages.contains(service)) {
      stages[service] = line;
      stages[service]["stage"] = "ordered";
    } else if (event == "rollout.stage") {
      stages[service] = line;
    }
  }
  json list = json::array();
  for (const json& stage : std::views::values(stages)) {
    list.push_back(stage);
  }
  return list;
}

}  // namespace oleander::ctl
