#include "entry/poison_guard.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <iterator>
#include <ranges>

#include "io/log.h"
#include "oleander/result_code.h"

namespace oleander::entry {
namespace {

// Longer lists of a peer are cut.
constexpr int kMaxCrashesFromPeer = 128;
constexpr int kMaxPartsFromPeer = 64;
constexpr int kMaxAnsweredFromPeer = 128;

int64_t Milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

std::string HexOf(PartHash part) { return fmt::format("{:016x}", part); }

void LogChange(const SuspicionChange& change) {
  const io::LogLevel level =
      change.suspected ? io::LogLevel::kWarning : io::LogLevel::kInfo;
  if (IsRequest(change.part)) {
    io::Log(level, change.suspected ? "request.suspected" : "request.cleared",
            {{"request", HexOf(change.part)}, {"crashes", change.crashes}});
  } else {
    io::Log(level,
            change.suspected ? "prompt_part.suspected" : "prompt_part.cleared",
            {{"part", HexOf(change.part)}, {"crashes", change.crashes}});
  }
}

// Logs the requests and parts that became suspected or are no longer. Returns
// whether there are any.
bool ReportChanges(CallContext& context) {
  const std::vector<SuspicionChange> changes = context.poison.TakeChanges();
  if (changes.empty()) {
    return false;
  }
  for (const SuspicionChange& change : changes) {
    LogChange(change);
  }
  context.metrics.SetSuspects(context.poison.suspected_requests(),
                              context.poison.suspected_parts());
  return true;
}

std::string IdOf(const ports::CallIntake& call, PartHash part) {
  const auto found = std::ranges::find(
      call.prompt, part,
      [](const ports::PromptPart& item) { return HashOfPart(item.id); });
  return found == call.prompt.end() ? std::string() : found->id;
}

}  // namespace

std::vector<PartHash> BlamableParts(const io::HttpRequest& request,
                                    const ports::CallIntake& call,
                                    const WorkspaceId& workspace) {
  std::string prompt;
  for (const ports::PromptPart& part : call.prompt) {
    prompt += part.id + ',';
  }
  std::vector<PartHash> parts = {
      HashOfRequest({workspace.value(), request.method, call.host, request.path,
                     request.query, request.body, prompt})};
  std::ranges::transform(
      call.prompt |
          std::views::take(std::max<size_t>(call.prompt.size(), 1) - 1),
      std::back_inserter(parts),
      [](const ports::PromptPart& part) { return HashOfPart(part.id); });
  return parts;
}

absl::Status CheckSuspicion(CallContext& context, const ports::CallIntake& call,
                            const std::vector<PartHash>& parts) {
  const Time now = context.loop.now();
  const auto suspicion = context.poison.Find(now, parts);
  if (!suspicion) {
    return absl::OkStatus();
  }
  context.poison.OnRefused(now, parts);
  if (IsRequest(suspicion->part)) {
    return MakeError(
        {.code = ResultCode::kPoisonRequest,
         .ran = Ran::kNo,
         .retry_after = suspicion->retry_after},
        fmt::format("{} servers crashed when they ran this request ({}), the "
                    "last one {} ms ago.",
                    suspicion->crashes, HexOf(suspicion->part),
                    Milliseconds(suspicion->last_crash_age)));
  }
  return MakeError(
      {.code = ResultCode::kPoisonPrompt,
       .ran = Ran::kNo,
       .retry_after = suspicion->retry_after},
      fmt::format("{} servers crashed when they began to answer on part {} "
                  "({}) of the prompt, the last one {} ms ago.",
                  suspicion->crashes, IdOf(call, suspicion->part),
                  HexOf(suspicion->part),
                  Milliseconds(suspicion->last_crash_age)));
}

void RecordServerCrash(CallContext& context, const ports::CallIntake& call,
                       const ServerId& server, const ServerCrash& crash) {
  if (!context.poison.OnCrash(context.loop.now(), crash)) {
    return;
  }
  io::Log(io::LogLevel::kWarning, "server.crashed",
          {{"server", server.value()},
           {"call", call.attempt},
           {"begun", crash.begun},
           {"request", HexOf(crash.parts.front())},
           {"parts",
            fmt::format("{:016x}",
                        fmt::join(crash.parts | std::views::drop(1), ","))}});
  ReportChanges(context);
  context.on_crash_news();
}

void RecordAnswer(CallContext& context, const std::vector<PartHash>& parts) {
  context.poison.OnAnswer(context.loop.now(), parts);
  if (ReportChanges(context)) {
    context.on_crash_news();
  }
}

void WriteNews(const CrashNews& news, entrywire::CrashNews& wire) {
  for (const ServerCrash& crash : news.crashes) {
    entrywire::ServerCrash& written = *wire.add_crashes();
    written.set_run(crash.run);
    written.set_begun(crash.begun);
    written.mutable_parts()->Add(crash.parts.begin(), crash.parts.end());
    written.set_age_ms(static_cast<uint32_t>(Milliseconds(crash.age)));
  }
  for (const AnsweredPart& answered : news.answered) {
    entrywire::AnsweredPart& written = *wire.add_answered();
    written.set_part(answered.part);
    written.set_age_ms(static_cast<uint32_t>(Milliseconds(answered.age)));
  }
}

void ApplyNews(CallContext& context, const entrywire::CrashNews& wire) {
  if (wire.crashes().empty() && wire.answered().empty()) {
    return;
  }
  CrashNews news;
  for (const auto& crash :
       wire.crashes() | std::views::take(kMaxCrashesFromPeer)) {
    ServerCrash& read = news.crashes.emplace_back();
    read.run = crash.run();
    read.begun = crash.begun();
    std::ranges::copy(crash.parts() | std::views::take(kMaxPartsFromPeer),
                      std::back_inserter(read.parts));
    read.age = std::chrono::milliseconds(crash.age_ms());
  }
  for (const auto& answered :
       wire.answered() | std::views::take(kMaxAnsweredFromPeer)) {
    news.answered.push_back(
        {.part = answered.part(),
         .age = std::chrono::milliseconds(answered.age_ms())});
  }
  context.poison.OnPeerNews(context.loop.now(), news);
  ReportChanges(context);
}

}  // namespace oleander::entry
