// The commands rollout list, rollout show and rollout why.
//
// They ask an instance at its metrics port, or read the log of one (--log).
// Evidence is known to the instance that holds the duty; each instance names
// it.
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

#include "commands.h"
#include "io/text_file.h"
#include "oleander/result_code.h"
#include "rollout_log.h"

namespace oleander::ctl {
namespace {

using nlohmann::json;

constexpr const char* kPath = "/rollouts";

absl::StatusOr<json> FetchDocument(const CommandContext& context) {
  auto client = context.connect_without_token();
  if (!client.ok()) {
    return client.status();
  }
  auto answer = (*client)->CallOk("GET", kPath);
  if (!answer.ok()) {
    return answer.status();
  }
  json document =
      json::parse(answer->body, nullptr, /*allow_exceptions=*/false);
  if (!document.is_object() || !document.contains("rollouts")) {
    return MakeError(ResultCode::kUsage,
                     "The instance at --address knows of no roll-outs. Is this "
                     "its metrics port, and do its settings name their "
                     "bounds?");
  }
  return document;
}

absl::StatusOr<json> ReadLines(const CommandContext& context) {
  auto text = io::ReadTextFile(context.log_file);
  if (!text.ok()) {
    return text.status();
  }
  return RolloutLines(*text);
}

absl::StatusOr<json> FetchRollouts(const CommandContext& context) {
  if (!context.log_file.empty()) {
    auto lines = ReadLines(context);
    return lines.ok() ? absl::StatusOr<json>(StagesIn(*lines)) : lines;
  }
  auto document = FetchDocument(context);
  return document.ok() ? absl::StatusOr<json>((*document)["rollouts"])
                       : document;
}

absl::Status UnknownRollout(const std::string& service) {
  return MakeError(ResultCode::kUnknownService,
                   fmt::format("Service {} has no roll-out.", service));
}

absl::StatusOr<json> FindRollout(const CommandContext& context) {
  auto rollouts = FetchRollouts(context);
  if (!rollouts.ok()) {
    return rollouts;
  }
  const auto found = std::ranges::find_if(*rollouts, [&](const json& each) {
    return each.value("service", "") == context.arguments[0];
  });
  if (found == rollouts->end()) {
    return UnknownRollout(context.arguments[0]);
  }
  return *found;
}

absl::Status List(const CommandContext& context) {
  if (!context.arguments.empty()) {
    return UsageError("rollout list");
  }
  auto rollouts = FetchRollouts(context);
  if (!rollouts.ok()) {
    return rollouts.status();
  }
  Print(context.format, *rollouts,
        {"service", "to", "stage", "share", "step", "arrived", "spent"});
  return absl::OkStatus();
}

absl::Status Show(const CommandContext& context) {
  if (context.arguments.size() != 1) {
    return UsageError("rollout show SERVICE");
  }
  auto rollout = FindRollout(context);
  if (!rollout.ok()) {
    return rollout.status();
  }
  Print(context.format, *rollout);
  return absl::OkStatus();
}

// From a log: every decision and verdict in order. From an instance: the last
// decision with its evidence.
absl::Status Why(const CommandContext& context) {
  if (context.arguments.size() != 1) {
    return UsageError("rollout why SERVICE");
  }
  const std::string& service = context.arguments[0];
  if (!context.log_file.empty()) {
    auto lines = ReadLines(context);
    if (!lines.ok()) {
      return lines.status();
    }
    json steps = json::array();
    std::ranges::copy_if(
        *lines, std::back_inserter(steps),
        [&](const json& line) { return line.value("service", "") == service; });
    if (steps.empty()) {
      return UnknownRollout(service);
    }
    Print(context.format, steps,
          {"time", "event", "stage", "step", "share", "reason", "because",
           "evidence"});
    return absl::OkStatus();
  }
  auto document = FetchDocument(context);
  if (!document.ok()) {
    return document.status();
  }
  auto rollout = FindRollout(context);
  if (!rollout.ok()) {
    return rollout.status();
  }
  const json findings = rollout->value("findings", json::array());
  json why = {{"service", service},
              {"stage", rollout->value("stage", "")},
              {"reason", rollout->value("reason", "")},
              {"verdict", rollout->value("verdict", json())},
              {"evidence_at", document->value("holder", "")}};
  if (context.format == OutputFormat::kJson) {
    why["findings"] = findings;
  }
  Print(context.format, why);
  if (context.format == OutputFormat::kText && !findings.empty()) {
    Print(context.format, findings,
          {"route", "target_answers", "target_failed", "earlier_answers",
           "earlier_failed", "failing", "slow"});
  }
  return absl::OkStatus();
}

constexpr auto kCommands = std::to_array<Command>({
    {"rollout list", "", "The roll-outs with stage, share and spent exposure.",
     List},
    {"rollout show", "SERVICE", "All that is known of one roll-out.", Show},
    {"rollout why", "SERVICE", "Why its stage is what it is: the evidence.",
     Why},
});

}  // namespace

std::span<const Command> RolloutCommands() { return kCommands; }

}  // namespace oleander::ctl
