// The commands of oleanderctl. Each takes the arguments after its name and
// prints its result.
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

// The input of every command: the arguments after its name, and the flags.
struct CommandContext {
  std::vector<std::string> arguments;
  OutputFormat format = OutputFormat::kText;
  std::string reason;         // --reason, for the audit trail.
  std::string operator_name;  // --who, for the audit trail.
  bool wait = false;          // --wait: wait until the change is in force.
  Duration wait_timeout = std::chrono::seconds(5);
  bool drop_comments = false;
  // Returns a client for the daemon; commands that only work on files never
  // call it.
  std::function<absl::StatusOr<OperatorClient*>()> connect;
  // The same, for what an instance shows without a token.
  std::function<absl::StatusOr<OperatorClient*>()> connect_without_token;
  std::string log_file;  // --log: read this log instead of asking an instance.
};

struct Command {
  std::string_view name;   // One or two words.
  std::string_view usage;  // The arguments, as the help shows them.
  std::string_view help;
  absl::Status (*run)(const CommandContext& context);
};

std::span<const Command> GeneralCommands();
std::span<const Command> ProfileCommands();
std::span<const Command> RolloutCommands();

// Returns the kUsage error for a wrong number of arguments; `expected` is the
// command with its arguments.
absl::Status UsageError(std::string_view expected);

}  // namespace oleander::ctl

#endif  // OLEANDER_APPS_OLEANDERCTL_COMMANDS_H_
