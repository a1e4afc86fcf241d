// oleanderd: the daemon that runs one entry instance.
// docs/operators/oleanderd.md describes it, and docs/operators/platform.md its
// deployment on a platform with a store.
#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>

#include "entry/entry_node.h"
#include "entry/settings.h"
#include "io/log.h"
#include "io/text_file.h"
#include "node/mesh_port.h"
#include "node/node.h"
#include "node/operator_token.h"
#include "node/settings.h"
#include "oleander/field_reader.h"
#include "oleander/result_code.h"
#include "platform/ports.h"

DEFINE_string(settings, "", "The settings file, JSON with comments.");
DEFINE_bool(check, false,
            "Check the settings and every file that they name, and exit.");

namespace oleander {
namespace {

// The text of a settings file, and the file's name for messages.
struct SettingsText {
  std::string file;
  std::string text;
};

// Parses and checks the settings. Unless `check_only` is true, it then runs the
// instance until it has drained.
using RunDeployment = absl::Status (*)(const SettingsText& source,
                                       bool check_only);

// Checks the files that the settings name.
absl::Status CheckFiles(const node::Settings& settings) {
  if (auto keys = node::ReadMeshKeys(settings.mesh.key_file); !keys.ok()) {
    return keys.status();
  }
  return node::OperatorToken::Read(settings.operator_token_file).status();
}

void ConfigureLog(io::LogLevel level, const InstanceId& instance) {
  io::SetLogLevel(level);
  io::SetLogInstance(instance.value());
}

absl::Status RunOwnDeployment(const SettingsText& source, bool check_only) {
  const auto settings = node::ParseSettings(source.text, source.file);
  if (!settings.ok()) {
    return settings.status();
  }
  if (check_only) {
    return CheckFiles(*settings);
  }
  ConfigureLog(settings->log_level, settings->instance);
  const auto node = node::Node::Create(*settings);
  if (!node.ok()) {
    return node.status();
  }
  (*node)->Run();
  return absl::OkStatus();
}

absl::Status RunPlatformDeployment(const SettingsText& source,
                                   bool check_only) {
  const auto settings = entry::ParseEntrySettings(source.text, source.file);
  if (!settings.ok() || check_only) {
    return settings.status();
  }
  ConfigureLog(settings->log_level, settings->instance);
  const auto node =
      entry::EntryNode::Create(*settings, source.file, platform::MakePorts);
  if (!node.ok()) {
    return node.status();
  }
  (*node)->Run();
  return absl::OkStatus();
}

struct Deployment {
  std::string_view name;  // The settings' field "deployment".
  RunDeployment run;
};

constexpr std::array<Deployment, 2> kDeployments = {{
    {.name = "own", .run = RunOwnDeployment},
    {.name = "platform", .run = RunPlatformDeployment},
}};

// Returns the run function for the field "deployment". Settings without that
// field are for the deployment "own", without a platform.
absl::StatusOr<RunDeployment> FindDeployment(const SettingsText& source) {
  auto document = ParseJsonWithComments(source.text, source.file,
                                        ResultCode::kSettingsUnreadable);
  if (!document.ok()) {
    return document.status();
  }
  const nlohmann::json own = "own";
  const nlohmann::json& name =
      document->is_object() && document->contains("deployment")
          ? document->at("deployment")
          : own;
  const auto* found =
      std::ranges::find_if(kDeployments, [&name](const Deployment& deployment) {
        return name == nlohmann::json(deployment.name);
      });
  if (found == kDeployments.end()) {
    return MakeError(ResultCode::kSettingsInvalid,
                     fmt::format("{}: deployment is {}; expected \"own\" or "
                                 "\"platform\".",
                                 source.file, name.dump()));
  }
  return found->run;
}

absl::Status Run() {
  if (FLAGS_settings.empty()) {
    return MakeError(ResultCode::kUsage, "--settings=FILE is missing.");
  }
  auto text = io::ReadTextFile(FLAGS_settings);
  if (!text.ok()) {
    return text.status();
  }
  const SettingsText source{.file = FLAGS_settings, .text = *std::move(text)};
  const auto run = FindDeployment(source);
  return run.ok() ? (*run)(source, FLAGS_check) : run.status();
}

int ReportAndExitCode(const absl::Status& status) {
  if (status.ok()) {
    return EXIT_SUCCESS;
  }
  fmt::print(stderr, "oleanderd: {} (code {}, {})\n",
             std::string(status.message()), static_cast<int>(CodeOf(status)),
             InfoOf(CodeOf(status)).name);
  return EXIT_FAILURE;
}

}  // namespace
}  // namespace oleander

int main(int argc, char** argv) {
  gflags::SetUsageMessage("oleanderd --settings=FILE [--check]");
  gflags::SetVersionString("0.1.0");
  gflags::ParseCommandLineFlags(&argc, &argv, /*remove_flags=*/true);
  return oleander::ReportAndExitCode(oleander::Run());
}
