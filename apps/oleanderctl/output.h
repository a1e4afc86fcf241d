// Prints results as text for people or as JSON for programs, and maps errors
// to exit codes.
#ifndef OLEANDER_APPS_OLEANDERCTL_OUTPUT_H_
#define OLEANDER_APPS_OLEANDERCTL_OUTPUT_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "absl/status/status.h"

namespace oleander::ctl {

enum class OutputFormat { kText, kJson };

// The exit codes of oleanderctl; docs/operators/oleanderctl.md lists them.
enum class ExitCode : int {
  kOk = 0,
  kUsage = 1,
  kUnreachable = 2,
  kRefused = 3,
  kConflict = 4,
  kInvalid = 5,
  kNotInForce = 6,
};

ExitCode ExitCodeOf(const absl::Status& status);

// Prints `value`. As text, an object becomes lines of "field: value" and a list
// of objects becomes a table with the given columns.
void Print(OutputFormat format, const nlohmann::json& value,
           const std::vector<std::string>& columns = {});

// Prints the error to standard error, in the given format.
void PrintError(OutputFormat format, const absl::Status& status);

}  // namespace oleander::ctl

#endif  // OLEANDER_APPS_OLEANDERCTL_OUTPUT_H_
