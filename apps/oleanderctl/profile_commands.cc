// The commands profile list, get, apply, edit, diff, history and delete.
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <nlohmann/json.hpp>

#include "commands.h"
#include "io/text_file.h"
#include "node/settings.h"
#include "oleander/field_reader.h"
#include "oleander/profile.h"
#include "oleander/result_code.h"

namespace oleander::ctl {
namespace {

using nlohmann::json;

constexpr Duration kForcePollInterval = std::chrono::milliseconds(100);
constexpr int kNotFound = 404;
constexpr int kJsonIndent = 2;

// The daemon's copy of a profile: its text and the revision for If-Match.
struct ProfileCopy {
  std::string text;
  std::string revision = "0";  // "0" if there is no such profile.
};

std::string Target(const std::string& name) { return "/v1/profiles/" + name; }

absl::StatusOr<ProfileCopy> Fetch(OperatorClient& client,
                                  const std::string& name) {
  auto answer = client.Call("GET", Target(name));
  if (!answer.ok()) {
    return answer.status();
  }
  if (answer->status == kNotFound) {
    return ProfileCopy{};
  }
  answer = client.CallOk("GET", Target(name));
  if (!answer.ok()) {
    return answer.status();
  }
  const auto etag = io::FindHeader(answer->headers, "etag");
  return ProfileCopy{.text = answer->body,
                     .revision = std::string(etag.value_or("0"))};
}

absl::StatusOr<ProfileCopy> FetchExisting(OperatorClient& client,
                                          const std::string& name) {
  auto copy = Fetch(client, name);
  if (copy.ok() && copy->revision == "0") {
    return MakeError(ResultCode::kUnknownProfile,
                     fmt::format("There is no profile called \"{}\".", name));
  }
  return copy;
}

absl::StatusOr<OperatorClient*> Connect(const CommandContext& context,
                                        size_t arguments,
                                        std::string_view usage) {
  if (context.arguments.size() != arguments) {
    return UsageError(usage);
  }
  return context.connect();
}

// Polls until the revision is in force on every reachable instance, then
// prints the state per domain. Returns kDeadlinePassed after the timeout.
absl::Status WaitUntilInForce(const CommandContext& context,
                              OperatorClient& client, const std::string& name,
                              const std::string& revision) {
  json report;
  const int64_t polls = context.wait_timeout / kForcePollInterval;
  for (int64_t poll = 0; poll <= polls; ++poll) {
    auto answer =
        client.CallOk("GET", Target(name) + "/force?revision=" + revision);
    if (!answer.ok()) {
      return answer.status();
    }
    report = json::parse(answer->body, nullptr, /*allow_exceptions=*/false);
    if (report.value("in_force_on_all_reachable", false)) {
      break;
    }
    client.Wait(kForcePollInterval);
  }
  Print(context.format, report.value("domains", json::array()),
        {"domain", "in_force", "waiting", "unreachable"});
  if (!report.value("in_force_on_all_reachable", false)) {
    return MakeError(
        ResultCode::kDeadlinePassed,
        fmt::format("Revision {} of \"{}\" is accepted but not in force "
                    "everywhere yet.",
                    revision, name));
  }
  return absl::OkStatus();
}

absl::Status Put(const CommandContext& context, OperatorClient& client,
                 const std::string& name, const std::string& text,
                 const std::string& base_revision) {
  auto answer = client.CallOk("PUT", Target(name),
                              {{"if-match", base_revision},
                               {"oleander-reason", context.reason},
                               {"oleander-operator", context.operator_name}},
                              text);
  if (!answer.ok()) {
    return answer.status();
  }
  const std::string revision(
      io::FindHeader(answer->headers, "etag").value_or("0"));
  Print(context.format, json{{"profile", name}, {"revision", revision}});
  return context.wait ? WaitUntilInForce(context, client, name, revision)
                      : absl::OkStatus();
}

absl::Status List(const CommandContext& context) {
  auto client = Connect(context, 0, "profile list");
  if (!client.ok()) {
    return client.status();
  }
  auto answer = (*client)->CallOk("GET", "/v1/profiles");
  if (!answer.ok()) {
    return answer.status();
  }
  const json document =
      json::parse(answer->body, nullptr, /*allow_exceptions=*/false);
  Print(context.format, document.value("profiles", json::array()),
        {"profile", "revision", "kind", "services"});
  return absl::OkStatus();
}

absl::Status Show(const CommandContext& context) {
  auto client = Connect(context, 1, "profile get NAME");
  if (!client.ok()) {
    return client.status();
  }
  auto copy = FetchExisting(**client, context.arguments[0]);
  if (!copy.ok()) {
    return copy.status();
  }
  if (context.format == OutputFormat::kJson) {
    Print(context.format, json{{"profile", context.arguments[0]},
                               {"revision", copy->revision},
                               {"text", copy->text}});
  } else {
    fmt::print("{}", copy->text);
  }
  return absl::OkStatus();
}

// Creates or replaces a profile; its name is a field of the document.
absl::Status Apply(const CommandContext& context) {
  if (context.arguments.size() != 1) {
    return UsageError("profile apply FILE [--wait]");
  }
  auto text = io::ReadTextFile(context.arguments[0]);
  if (!text.ok()) {
    return text.status();
  }
  auto profile = ParseProfile(*text, context.arguments[0]);
  if (!profile.ok()) {
    return profile.status();
  }
  auto client = context.connect();
  if (!client.ok()) {
    return client.status();
  }
  auto copy = Fetch(**client, profile->name.value());
  if (!copy.ok()) {
    return copy.status();
  }
  return Put(context, **client, profile->name.value(), *text, copy->revision);
}

bool HasComments(const std::string& text) {
  return !json::accept(text, /*ignore_comments=*/false);
}

// Sets one field from an assignment such as "latency.first_token_ms=1200". A
// value that isn't valid JSON is stored as a string.
absl::Status SetField(json& document, const std::string& assignment) {
  const size_t equals = assignment.find('=');
  if (equals == std::string::npos || equals == 0) {
    return MakeError(
        ResultCode::kUsage,
        fmt::format("\"{}\" is not of the form FIELD=VALUE.", assignment));
  }
  std::string pointer = "/" + assignment.substr(0, equals);
  std::ranges::replace(pointer, '.', '/');
  const std::string value = assignment.substr(equals + 1);
  json parsed = json::parse(value, nullptr, /*allow_exceptions=*/false);
  try {
    document[json::json_pointer(pointer)] =
        parsed.is_discarded() ? json(value) : std::move(parsed);
  } catch (const json::exception& error) {
    return MakeError(ResultCode::kUsage, fmt::format("\"{}\" can't be set: {}",
                                                     assignment, error.what()));
  }
  return absl::OkStatus();
}

absl::Status Edit(const CommandContext& context) {
  if (context.arguments.size() < 2) {
    return UsageError("profile edit NAME FIELD=VALUE...");
  }
  auto client = context.connect();
  if (!client.ok()) {
    return client.status();
  }
  const std::string& name = context.arguments[0];
  auto copy = FetchExisting(**client, name);
  if (!copy.ok()) {
    return copy.status();
  }
  if (HasComments(copy->text) && !context.drop_comments) {
    return MakeError(ResultCode::kUsage,
                     fmt::format("The profile \"{}\" has comments, which this "
                                 "command would discard: edit "
                                 "the file from `profile get` and apply it, or "
                                 "give --drop_comments.",
                                 name));
  }
  auto document =
      ParseJsonWithComments(copy->text, name, ResultCode::kProfileInvalid);
  if (!document.ok()) {
    return document.status();
  }
  for (size_t i = 1; i < context.arguments.size(); ++i) {
    const absl::Status status = SetField(*document, context.arguments[i]);
    if (!status.ok()) {
      return status;
    }
  }
  return Put(context, **client, name, document->dump(kJsonIndent) + "\n",
             copy->revision);
}

absl::Status Diff(const CommandContext& context) {
  auto client = Connect(context, 2, "profile diff NAME FILE");
  if (!client.ok()) {
    return client.status();
  }
  auto copy = FetchExisting(**client, context.arguments[0]);
  if (!copy.ok()) {
    return copy.status();
  }
  auto text = io::ReadTextFile(context.arguments[1]);
  if (!text.ok()) {
    return text.status();
  }
  auto theirs = ParseJsonWithComments(copy->text, context.arguments[0],
                                      ResultCode::kProfileInvalid);
  auto ours = ParseJsonWithComments(*text, context.arguments[1],
                                    ResultCode::kProfileInvalid);
  if (!theirs.ok() || !ours.ok()) {
    return theirs.ok() ? ours.status() : theirs.status();
  }
  Print(context.format, json::diff(*theirs, *ours), {"op", "path", "value"});
  return absl::OkStatus();
}

absl::Status History(const CommandContext& context) {
  auto client = Connect(context, 1, "profile history NAME");
  if (!client.ok()) {
    return client.status();
  }
  auto answer =
      (*client)->CallOk("GET", Target(context.arguments[0]) + "/history");
  if (!answer.ok()) {
    return answer.status();
  }
  const json document =
      json::parse(answer->body, nullptr, /*allow_exceptions=*/false);
  Print(context.format, document.value("records", json::array()),
        {"time", "who", "from", "to", "reason", "outcome"});
  return absl::OkStatus();
}

absl::Status Delete(const CommandContext& context) {
  auto client = Connect(context, 1, "profile delete NAME");
  if (!client.ok()) {
    return client.status();
  }
  const std::string& name = context.arguments[0];
  auto copy = FetchExisting(**client, name);
  if (!copy.ok()) {
    return copy.status();
  }
  auto answer =
      (*client)->CallOk("DELETE", Target(name),
                        {{"if-match", copy->revision},
                         {"oleander-reason", context.reason},
                         {"oleander-operator", context.operator_name}});
  if (!answer.ok()) {
    return answer.status();
  }
  const std::string revision(
      io::FindHeader(answer->headers, "etag").value_or("0"));
  Print(context.format,
        json{{"profile", name}, {"revision", revision}, {"deleted", true}});
  return context.wait ? WaitUntilInForce(context, **client, name, revision)
                      : absl::OkStatus();
}

constexpr auto kCommands = std::to_array<Command>({
    {"profile list", "", "Lists every profile with its revision.", List},
    {"profile get", "NAME", "Prints a profile's text.", Show},
    {"profile apply", "FILE [--wait]",
     "Creates or replaces the profile in FILE.", Apply},
    {"profile edit", "NAME FIELD=VALUE...",
     "Changes single fields of a profile.", Edit},
    {"profile diff", "NAME FILE", "How FILE differs from the profile in force.",
     Diff},
    {"profile history", "NAME", "Lists who changed the profile, when and why.",
     History},
    {"profile delete", "NAME", "Deletes the profile.", Delete},
});

}  // namespace

std::span<const Command> ProfileCommands() { return kCommands; }

}  // namespace oleander::ctl
