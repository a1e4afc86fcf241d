// The commands status, members, servers, audit, request, check, codes and keys.
#include <fmt/format.h>

#include <array>
#include <nlohmann/json.hpp>

#include "commands.h"
#include "io/mesh.h"
#include "io/text_file.h"
#include "node/settings.h"
#include "oleander/field_reader.h"
#include "oleander/profile.h"
#include "oleander/result_code.h"

namespace oleander::ctl {
namespace {

using nlohmann::json;

absl::StatusOr<json> FetchJson(const CommandContext& context,
                               std::string target) {
  auto client = context.connect();
  if (!client.ok()) {
    return client.status();
  }
  auto answer = (*client)->CallOk("GET", std::move(target));
  if (!answer.ok()) {
    return answer.status();
  }
  return json::parse(answer->body, nullptr, /*allow_exceptions=*/false);
}

// Prints the list `member` of the document at `target`.
absl::Status ShowList(const CommandContext& context, const std::string& target,
                      const std::string& member,
                      const std::vector<std::string>& columns) {
  auto document = FetchJson(context, target);
  if (!document.ok()) {
    return document.status();
  }
  Print(context.format, document->value(member, json::array()), columns);
  return absl::OkStatus();
}

absl::Status Status(const CommandContext& context) {
  auto document = FetchJson(context, "/v1/status");
  if (!document.ok()) {
    return document.status();
  }
  Print(context.format, *document);
  return absl::OkStatus();
}

absl::Status Members(const CommandContext& context) {
  return ShowList(
      context, "/v1/members", "members",
      {"instance", "region", "domain", "address", "state", "incarnation"});
}

absl::Status Servers(const CommandContext& context) {
  return ShowList(context, "/v1/servers", "servers",
                  {"server", "service", "domain", "market", "usable", "leaving",
                   "running", "waiting", "slots", "age_ms", "own_in_flight"});
}

absl::Status Audit(const CommandContext& context) {
  return ShowList(context, "/v1/audit", "records",
                  {"time", "who", "what", "from", "to", "reason", "outcome"});
}

absl::Status RequestShow(const CommandContext& context) {
  if (context.arguments.size() != 1) {
    return UsageError("request show ID");
  }
  auto document = FetchJson(context, "/v1/requests/" + context.arguments[0]);
  if (!document.ok()) {
    return document.status();
  }
  Print(context.format, *document);
  return absl::OkStatus();
}

absl::Status RequestFollow(const CommandContext& context) {
  if (context.arguments.size() != 1) {
    return UsageError("request follow ID");
  }
  auto client = context.connect();
  if (!client.ok()) {
    return client.status();
  }
  return (*client)->Stream(
      "/v1/requests/" + context.arguments[0] + "/stream?from=0",
      [](std::string_view chunk) { fmt::print("{}", chunk); });
}

absl::Status RequestCancel(const CommandContext& context) {
  if (context.arguments.size() != 1) {
    return UsageError("request cancel ID");
  }
  auto client = context.connect();
  if (!client.ok()) {
    return client.status();
  }
  auto answer = (*client)->CallOk(
      "POST", "/v1/requests/" + context.arguments[0] + "/cancel");
  if (!answer.ok()) {
    return answer.status();
  }
  Print(context.format,
        json{{"request", context.arguments[0]}, {"state", "cancelled"}});
  return absl::OkStatus();
}

// Checks a settings file or a profile; only settings have the field "instance".
absl::Status CheckFile(const CommandContext& context) {
  if (context.arguments.size() != 1) {
    return UsageError("check FILE");
  }
  const std::string& file = context.arguments[0];
  auto text = io::ReadTextFile(file);
  if (!text.ok()) {
    return text.status();
  }
  auto document =
      ParseJsonWithComments(*text, file, ResultCode::kProfileInvalid);
  if (!document.ok()) {
    return document.status();
  }
  const bool is_settings =
      document->is_object() && document->contains("instance");
  absl::Status status = is_settings ? node::ParseSettings(*text, file).status()
                                    : ParseProfile(*text, file).status();
  if (!status.ok()) {
    return status;
  }
  Print(context.format, json{{"file", file},
                             {"kind", is_settings ? "settings" : "profile"},
                             {"valid", true}});
  return absl::OkStatus();
}

absl::Status Codes(const CommandContext&) {
  fmt::print(
      "| code | name | HTTP status | ran | meaning |\n|---|---|---|---|---|\n");
  for (const ResultCodeInfo& info : ResultCodeTable()) {
    fmt::print("| {} | {} | {} | {} | {} |\n", static_cast<int>(info.code),
               info.name, info.http_status, RanName(info.ran), info.meaning);
  }
  return absl::OkStatus();
}

absl::Status KeysNew(const CommandContext& context) {
  if (!context.arguments.empty()) {
    return UsageError("keys new");
  }
  const io::MeshKeys keys = io::NewMeshKeys();
  // Always JSON, because this is the content of a mesh key file.
  Print(OutputFormat::kJson,
        json{{"public_key", keys.public_key},
             {"secret_key", keys.secret_key},
             {"allowed_public_keys", json::array({keys.public_key})}});
  return absl::OkStatus();
}

constexpr auto kCommands = std::to_array<Command>({
    {"status", "",
     "The daemon's state, profile revision and contact with store and peers.",
     Status},
    {"members", "", "The entry instances that the daemon knows.", Members},
    {"servers", "", "The backend servers and their load.", Servers},
    {"audit", "", "The latest changes: who, when, from, to, why.", Audit},
    {"request show", "ID", "The state and text of a request.", RequestShow},
    {"request follow", "ID", "The events of a request until it ends.",
     RequestFollow},
    {"request cancel", "ID", "Cancels a request.", RequestCancel},
    {"check", "FILE", "Checks a settings file or a profile without a daemon.",
     CheckFile},
    {"codes", "", "The table of result codes.", Codes},
    {"keys new", "", "Makes a CURVE key pair for the mesh.", KeysNew},
});

}  // namespace

std::span<const Command> GeneralCommands() { return kCommands; }

absl::Status UsageError(std::string_view expected) {
  return MakeError(
      ResultCode::kUsage,
      fmt::format("Wrong number of arguments; expected: oleanderctl {}",
                  expected));
}

}  // namespace oleander::ctl
