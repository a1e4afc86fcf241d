// The commands of oleanderctl. Each takes the words after its name and prints
// its answer.
#ifndef OLEANDER_APPS_OLEANDERCTL_COMMANDS_H_
#define OLEANDER_APPS_OLEANDERCTL_COMMANDS_H_

#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "oleander/types.h"
#include "operator_client.h"
#include "output.h"

namespace oleander::ctl {

// What every command gets: the words after its name, and the flags.
struct CommandContext {
  std::vector<std::string> arguments;
  OutputFormat format = OutputFormat::kText;
  std::string reason;         // --reason, for the audit trail.
  std::string operator_name;  // --who, for the audit trail.
  bool wait = false;          // --wait: until the change is in force.
  Duration wait_timeout = std::chrono::seconds(5);
  bool drop_comments = false;
  // Connects to the daemon on first use; commands that work on files alone
  // never call it.
  std::function<absl::StatusOr<OperatorClient*>()> connect;
};

struct Command {
  std::string_view name;   // One or two words.
  std::string_view usage;  // The words that follow.
  std::string_view help;
  absl::Status (*run)(const CommandContext& context);
};

std::span<const Command> GeneralCommands();
std::span<const Command> ProfileCommands();

// The error for a wrong number of words.
absl::Status UsageError(std::string_view expected);

}  // namespace oleander::ctl

#endif  // OLEANDER_APPS_OLEANDERCTL_COMMANDS_H_
