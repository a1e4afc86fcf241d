// oleanderctl: the command-line tool for operators.
// docs/operators/oleanderctl.md describes it.
#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <cstdio>
#include <memory>
#include <optional>

#include "commands.h"
#include "io/log.h"
#include "io/text_file.h"
#include "node/settings.h"
#include "oleander/result_code.h"

DEFINE_string(address, "127.0.0.1:9090",
              "The daemon's operator listener, as IP:PORT.");
DEFINE_string(token_file, "", "A file that holds the operator token.");
DEFINE_string(log, "",
              "Log of an instance that the rollout commands read, instead of "
              "asking the instance.");
DEFINE_string(output, "text", "How to print: text or json.");
DEFINE_string(reason, "", "Reason for the change, for the audit trail.");
DEFINE_string(who, "operator", "Who makes the change, for the audit trail.");
DEFINE_bool(wait, false,
            "Wait until the change is in force on every reachable instance.");
DEFINE_int32(wait_ms, 5000, "How long --wait waits.");
DEFINE_bool(drop_comments, false,
            "Let `profile edit` discard the document's comments.");

namespace oleander::ctl {
namespace {

std::vector<Command> AllCommands() {
  std::vector<Command> commands(GeneralCommands().begin(),
                                GeneralCommands().end());
  std::ranges::copy(ProfileCommands(), std::back_inserter(commands));
  std::ranges::copy(RolloutCommands(), std::back_inserter(commands));
  return commands;
}

std::string UsageText() {
  std::string text = "oleanderctl [flags] COMMAND\n\n";
  for (const Command& command : AllCommands()) {
    text += fmt::format("  {:<40} {}\n",
                        fmt::format("{} {}", command.name, command.usage),
                        command.help);
  }
  return text;
}

// Returns the command whose name is the first one or two of `arguments` and
// removes the name from `arguments`; returns nullptr if there is none.
const Command* FindCommand(const std::vector<Command>& commands,
                           std::vector<std::string>& arguments) {
  const std::string one = arguments.empty() ? "" : arguments[0];
  const std::string two = arguments.size() > 1 ? one + " " + arguments[1] : one;
  const auto found =
      std::ranges::find_if(commands, [&](const Command& command) {
        return command.name == one || command.name == two;
      });
  if (found == commands.end()) {
    return nullptr;
  }
  arguments.erase(arguments.begin(),
                  arguments.begin() + (found->name == one ? 1 : 2));
  return &*found;
}

std::string TrimTrailingSpace(std::string text) {
  text.erase(text.find_last_not_of(" \r\n\t") + 1);
  return text;
}

absl::StatusOr<std::unique_ptr<OperatorClient>> NewClient(bool needs_token) {
  auto endpoint = ParseEndpoint(FLAGS_address);
  if (!endpoint.ok()) {
    return endpoint.status();
  }
  if (!needs_token) {
    return std::make_unique<OperatorClient>(*std::move(endpoint));
  }
  if (FLAGS_token_file.empty()) {
    return MakeError(ResultCode::kUsage, "This command needs --token_file.");
  }
  auto token = io::ReadTextFile(FLAGS_token_file);
  if (!token.ok()) {
    return token.status();
  }
  endpoint->token = TrimTrailingSpace(*std::move(token));
  return std::make_unique<OperatorClient>(*std::move(endpoint));
}

// Prints the error, if any, and returns the exit code.
int Finish(OutputFormat format, const absl::Status& status) {
  if (status.ok()) {
    return static_cast<int>(ExitCode::kOk);
  }
  PrintError(format, status);
  if (CodeOf(status) == ResultCode::kDeadlinePassed && FLAGS_wait) {
    return static_cast<int>(ExitCode::kNotInForce);
  }
  return static_cast<int>(ExitCodeOf(status));
}

int Run(std::vector<std::string> arguments) {
  const auto format =
      FLAGS_output == "json" ? OutputFormat::kJson : OutputFormat::kText;
  if (FLAGS_output != "json" && FLAGS_output != "text") {
    return Finish(
        format,
        MakeError(ResultCode::kUsage,
                  fmt::format("--output is \"{}\", expected text or json.",
                              FLAGS_output)));
  }
  const std::vector<Command> commands = AllCommands();
  const Command* command = FindCommand(commands, arguments);
  if (command == nullptr) {
    fmt::print(stderr, "{}", UsageText());
    return static_cast<int>(ExitCode::kUsage);
  }
  std::unique_ptr<OperatorClient> client;
  CommandContext context;
  context.arguments = std::move(arguments);
  context.format = format;
  context.reason = FLAGS_reason;
  context.operator_name = FLAGS_who;
  context.wait = FLAGS_wait;
  context.wait_timeout = std::chrono::milliseconds(FLAGS_wait_ms);
  context.drop_comments = FLAGS_drop_comments;
  const auto connect =
      [&](bool needs_token) -> absl::StatusOr<OperatorClient*> {
    auto made = NewClient(needs_token);
    if (!made.ok()) {
      return made.status();
    }
    client = *std::move(made);
    return client.get();
  };
  context.connect = [&] { return connect(/*needs_token=*/true); };
  context.connect_without_token = [&] { return connect(false); };
  context.log_file = FLAGS_log;
  return Finish(format, command->run(context));
}

}  // namespace
}  // namespace oleander::ctl

int main(int argc, char** argv) {
  oleander::io::LogToStandardError();
  gflags::SetUsageMessage(oleander::ctl::UsageText());
  gflags::SetVersionString("0.1.0");
  gflags::ParseCommandLineFlags(&argc, &argv, /*remove_flags=*/true);
  return oleander::ctl::Run(std::vector<std::string>(argv + 1, argv + argc));
}
