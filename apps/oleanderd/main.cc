// oleanderd: one entry instance. docs/operators/oleanderd.md describes it.
#include <fmt/format.h>
#include <gflags/gflags.h>

#include <cstdio>
#include <cstdlib>

#include "io/log.h"
#include "node/mesh_port.h"
#include "node/node.h"
#include "node/operator_token.h"
#include "node/settings.h"
#include "oleander/result_code.h"

DEFINE_string(settings, "", "The settings file, JSON with comments.");
DEFINE_bool(check, false,
            "Check the settings and every file that they name, and exit.");

namespace oleander {
namespace {

int Fail(const absl::Status& status) {
  fmt::print(stderr, "oleanderd: {} (code {}, {})\n",
             std::string(status.message()), static_cast<int>(CodeOf(status)),
             InfoOf(CodeOf(status)).name);
  return EXIT_FAILURE;
}

absl::Status CheckFiles(const node::Settings& settings) {
  if (auto keys = node::ReadMeshKeys(settings.mesh.key_file); !keys.ok()) {
    return keys.status();
  }
  return node::OperatorToken::Read(settings.operator_token_file).status();
}

int Run() {
  if (FLAGS_settings.empty()) {
    return Fail(MakeError(ResultCode::kUsage, "--settings=FILE is missing."));
  }
  const auto settings = node::ReadSettings(FLAGS_settings);
  if (!settings.ok()) {
    return Fail(settings.status());
  }
  if (FLAGS_check) {
    const absl::Status status = CheckFiles(*settings);
    return status.ok() ? EXIT_SUCCESS : Fail(status);
  }
  io::SetLogLevel(settings->log_level);
  io::SetLogInstance(settings->instance.value());
  const auto node = node::Node::Create(*settings);
  if (!node.ok()) {
    return Fail(node.status());
  }
  (*node)->Run();
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace oleander

int main(int argc, char** argv) {
  gflags::SetUsageMessage("oleanderd --settings=FILE [--check]");
  gflags::SetVersionString("0.1.0");
  gflags::ParseCommandLineFlags(&argc, &argv, /*remove_flags=*/true);
  return oleander::Run();
}
