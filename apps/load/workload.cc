#include "load/workload.h"

#include <absl/random/random.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <random>

#include "oleander/field_reader.h"

namespace oleander::load {
namespace {

using Random = std::mt19937_64;

constexpr std::array<std::string_view, kOperationKinds> kKindNames = {
    "chat_stream",      "chat_whole",          "long_review",
    "deposit_with_key", "deposit_without_key", "double_submit",
    "deposit_then_read"};

constexpr int kMaxAmount = 500;
constexpr int kVocabulary = 5000;

ChatShape ReadShape(FieldReader& reader, const ChatShape& defaults) {
  ChatShape shape;
  shape.service = reader.Text("service");
  shape.model = reader.Text("model");
  const auto integer = [&](const char* key, int fallback) {
    return static_cast<int>(
        reader.Integer(key, {.fallback = fallback, .minimum = 1}));
  };
  shape.tokens_min = integer("tokens_min", defaults.tokens_min);
  shape.tokens_max = integer("tokens_max", defaults.tokens_max);
  shape.prompt_words = integer("prompt_words", defaults.prompt_words);
  reader.Finish();
  return shape;
}

EntryAddress ReadEntry(FieldReader& reader) {
  EntryAddress entry = {.address = reader.Text("address"),
                        .port = static_cast<uint16_t>(reader.Integer(
                            "port", {.minimum = 1, .maximum = 65535}))};
  reader.Finish();
  return entry;
}

Phase ReadPhase(FieldReader& reader) {
  Phase phase = {.until = reader.Milliseconds("until_ms"),
                 .per_second = reader.Number("per_s")};
  reader.Finish();
  return phase;
}

WorkspaceLoad ReadWorkspace(FieldReader& reader) {
  WorkspaceLoad workspace;
  workspace.name = reader.Text("name");
  workspace.weight = reader.Number("weight", {.fallback = 1});
  workspace.prefix_words =
      static_cast<int>(reader.Integer("prefix_words", {.fallback = 0}));
  reader.Finish();
  return workspace;
}

void ReadMix(FieldReader& reader, Workload& workload) {
  for (int kind = 0; kind < kOperationKinds; ++kind) {
    workload.mix[kind] = reader.Number(kKindNames[kind], {.fallback = 0});
  }
  reader.Finish();
}

void ReadLists(FieldReader& root, Workload& workload) {
  for (FieldReader& entry : root.Objects("entries")) {
    workload.entries.push_back(ReadEntry(entry));
  }
  for (FieldReader& phase : root.Objects("phases")) {
    workload.phases.push_back(ReadPhase(phase));
  }
  for (FieldReader& workspace : root.Objects("workspaces")) {
    workload.workspaces.push_back(ReadWorkspace(workspace));
  }
}

Workload ReadRoot(FieldReader& root) {
  Workload workload;
  workload.seed = static_cast<uint64_t>(root.Integer("seed"));
  workload.direct = root.Flag("direct", false);
  workload.poisson =
      root.Text("arrivals", {.fallback = "poisson",
                             .one_of = {"poisson", "even"}}) == "poisson";
  ReadLists(root, workload);
  if (auto mix = root.Object("mix", /*required=*/true)) {
    ReadMix(*mix, workload);
  }
  if (auto chat = root.Object("chat")) {
    workload.chat = ReadShape(*chat, workload.chat);
  }
  if (auto review = root.Object("review")) {
    workload.review = ReadShape(*review, workload.review);
  }
  workload.desk_service = root.Text("desk_service", {.fallback = "order-desk"});
  workload.read_where_written = root.Flag("read_where_written", false);
  workload.recover_within = root.Milliseconds(
      "recover_within_ms", {.fallback = workload.recover_within});
  workload.end_within =
      root.Milliseconds("end_within_ms", {.fallback = workload.end_within});
  workload.first_token_target = root.Milliseconds(
      "first_token_target_ms", {.fallback = workload.first_token_target});
  root.Finish();
  return workload;
}

// Returns `name`, followed by random words up to `count` words in total.
std::string MakeWords(std::string_view name, int count, Random& random) {
  std::string text(name);
  for (int word = 1; word < count; ++word) {
    text += fmt::format(" v{}", absl::Uniform(random, 0, kVocabulary));
  }
  return text;
}

// Returns a prefix that depends only on the workspace, so that all its prompts
// share it in every run.
std::string PromptPrefix(const WorkspaceLoad& workspace) {
  std::seed_seq seed(workspace.name.begin(), workspace.name.end());
  Random random(seed);
  return workspace.prefix_words == 0
             ? ""
             : MakeWords(workspace.name, workspace.prefix_words, random) + "\n";
}

std::vector<Duration> ArrivalTimes(const Workload& workload, Random& random) {
  using Seconds = std::chrono::duration<double>;
  std::vector<Duration> times;
  Seconds now{0};
  for (const Phase& phase : workload.phases) {
    const Seconds until = phase.until;
    while (phase.per_second > 0) {
      const double gap = workload.poisson
                             ? absl::Exponential(random, phase.per_second)
                             : 1 / phase.per_second;
      if (now + Seconds(gap) >= until) {
        break;
      }
      now += Seconds(gap);
      times.push_back(std::chrono::duration_cast<Duration>(now));
    }
    now = until;
  }
  return times;
}

template <typename Weights>
size_t DrawIndex(const Weights& weights, Random& random) {
  return std::discrete_distribution<size_t>(weights.begin(),
                                            weights.end())(random);
}

void FillChat(PlannedOperation& operation, const ChatShape& shape,
              const WorkspaceLoad& workspace, const Workload& workload,
              Random& random) {
  const std::string name =
      fmt::format("request-{}-{}", workload.seed, operation.number);
  operation.prompt =
      PromptPrefix(workspace) + MakeWords(name, shape.prompt_words, random);
  operation.max_tokens = absl::Uniform(absl::IntervalClosed, random,
                                       shape.tokens_min, shape.tokens_max);
}

}  // namespace

std::string_view KindName(OperationKind kind) {
  return kKindNames[static_cast<size_t>(kind)];
}

absl::StatusOr<Workload> ParseWorkload(std::string_view text,
                                       std::string_view source) {
  auto document =
      ParseJsonWithComments(text, source, ResultCode::kSettingsUnreadable);
  if (!document.ok()) {
    return document.status();
  }
  FieldProblems problems;
  FieldReader root(*document, "", problems);
  Workload workload = ReadRoot(root);
  if (workload.entries.empty()) {
    root.Problem("entries", "at least one entry instance");
  }
  if (workload.workspaces.empty()) {
    root.Problem("workspaces", "at least one workspace");
  }
  if (!problems.empty()) {
    return problems.ToStatus(ResultCode::kSettingsInvalid, source);
  }
  return workload;
}

std::vector<PlannedOperation> PlanOperations(const Workload& workload) {
  Random random(workload.seed);
  std::vector<double> weights;
  std::ranges::transform(workload.workspaces, std::back_inserter(weights),
                         &WorkspaceLoad::weight);
  std::vector<PlannedOperation> plan;
  for (const Duration at : ArrivalTimes(workload, random)) {
    const WorkspaceLoad& workspace =
        workload.workspaces[DrawIndex(weights, random)];
    PlannedOperation operation;
    operation.kind =
        static_cast<OperationKind>(DrawIndex(workload.mix, random));
    operation.number = static_cast<int>(plan.size());
    operation.at = at;
    operation.workspace = workspace.name;
    operation.amount = absl::Uniform(random, 1, kMaxAmount);
    const ChatShape& shape = operation.kind == OperationKind::kLongReview
                                 ? workload.review
                                 : workload.chat;
    FillChat(operation, shape, workspace, workload, random);
    plan.push_back(std::move(operation));
  }
  return plan;
}

}  // namespace oleander::load
