#include "output.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdio>

#include "oleander/result_code.h"

namespace oleander::ctl {
namespace {

using nlohmann::json;

constexpr int kJsonIndent = 2;

std::string Cell(const json& value) {
  if (value.is_null()) {
    return "-";
  }
  return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string CellOf(const json& row, const std::string& column) {
  return row.contains(column) ? Cell(row[column]) : "-";
}

size_t ColumnWidth(const json& rows, const std::string& column) {
  size_t width = column.size();
  for (const json& row : rows) {
    width = std::max(width, CellOf(row, column).size());
  }
  return width;
}

void PrintTable(const json& rows, const std::vector<std::string>& columns) {
  std::vector<size_t> widths;
  std::ranges::transform(
      columns, std::back_inserter(widths),
      [&](const std::string& column) { return ColumnWidth(rows, column); });
  const auto print_row = [&](const auto& cell_of) {
    std::string line;
    for (size_t i = 0; i < columns.size(); ++i) {
      line += fmt::format("{:<{}}  ", cell_of(columns[i]), widths[i]);
    }
    line.erase(line.find_last_not_of(' ') + 1);
    fmt::print("{}\n", line);
  };
  print_row([](const std::string& column) { return column; });
  for (const json& row : rows) {
    print_row([&](const std::string& column) { return CellOf(row, column); });
  }
}

void PrintFields(const json& object) {
  for (const auto& [key, value] : object.items()) {
    fmt::print("{}: {}\n", key, Cell(value));
  }
}

}  // namespace

ExitCode ExitCodeOf(const absl::Status& status) {
  switch (CodeOf(status)) {
    case ResultCode::kOk:
      return ExitCode::kOk;
    case ResultCode::kUsage:
    case ResultCode::kSettingsUnreadable:
      return ExitCode::kUsage;
    case ResultCode::kDaemonUnreachable:
      return ExitCode::kUnreachable;
    case ResultCode::kProfileConflict:
      return ExitCode::kConflict;
    case ResultCode::kProfileInvalid:
    case ResultCode::kProfileTooLarge:
    case ResultCode::kSettingsInvalid:
      return ExitCode::kInvalid;
    default:
      return ExitCode::kRefused;
  }
}

void Print(OutputFormat format, const json& value,
           const std::vector<std::string>& columns) {
  if (format == OutputFormat::kJson) {
    fmt::print("{}\n", value.dump(kJsonIndent));
  } else if (value.is_array()) {
    PrintTable(value, columns);
  } else if (value.is_object()) {
    PrintFields(value);
  } else {
    fmt::print("{}\n", Cell(value));
  }
}

void PrintError(OutputFormat format, const absl::Status& status) {
  if (format == OutputFormat::kJson) {
    fmt::print(stderr, "{}\n", ErrorBody(status));
    return;
  }
  fmt::print(stderr, "oleanderctl: {} (code {}, {})\n",
             std::string(status.message()), static_cast<int>(CodeOf(status)),
             InfoOf(CodeOf(status)).name);
}

}  // namespace oleander::ctl
