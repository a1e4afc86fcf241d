#include "standins/shared_engine.h"

#include <fmt/format.h>

#include <algorithm>
#include <numeric>

#include "absl/random/random.h"
#include "standins/shared_answer.h"

namespace oleander::standins {
namespace {

constexpr int kOk = 200;

std::string_view StateName(AttemptState state) {
  switch (state) {
    case AttemptState::kWaiting:
      return "waiting";
    case AttemptState::kRunning:
      return "running";
    case AttemptState::kFinished:
      return "finished";
    case AttemptState::kCancelled:
      return "cancelled";
    case AttemptState::kFailed:
      return "failed";
  }
  return "unknown";
}

Json Usage(const Attempt& attempt) {
  return {{"prompt_tokens", attempt.prompt_tokens},
          {"completion_tokens", attempt.next - attempt.from},
          {"cached_tokens", attempt.cached_tokens},
          {"recomputed_tokens", attempt.recomputed_tokens}};
}

Json RecordOf(const Attempt& attempt) {
  return {{"attempt", attempt.id},
          {"prompt", PromptHash(attempt.prompt)},
          {"state", StateName(attempt.state)},
          {"from", attempt.from},
          {"made", attempt.next - attempt.from},
          {"max_tokens", attempt.max_tokens},
          {"cached", attempt.cached_tokens},
          {"prefilled", attempt.prefilled_tokens},
          {"recomputed", attempt.recomputed_tokens},
          {"arrived_ms", attempt.arrived_ms},
          {"started_ms", attempt.started_ms},
          {"ended_ms", attempt.ended_ms}};
}

std::string WholeText(const Attempt& attempt) {
  return attempt.prompt + attempt.resume_text;
}

}  // namespace

Engine::Engine(Standin& standin, EngineOptions options)
    : standin_(&standin),
      options_(std::move(options)),
      random_(options_.seed),
      cache_(options_.cache) {}

void Engine::Submit(const AttemptPtr& attempt) {
  attempt->next = attempt->from;
  attempt->prompt_tokens = CountWords(attempt->prompt);
  attempt->arrived_ms = standin_->now_ms();
  attempt->stalled =
      absl::Bernoulli(random_, standin_->faults().Number("stall_rate", 0));
  all_.push_back(attempt);
  open_[attempt->id] = attempt;
  waiting_[{attempt->priority, arrivals_++}] = attempt;
  attempt->exchange->OnDisconnected(
      [this, id = attempt->id, weak = std::weak_ptr<Attempt>(attempt)] {
        const AttemptPtr gone = weak.lock();
        if (gone && Find(id) == gone) {
          Cancel(id);
        }
      });
  if (!stepping_) {
    StartStep();
  }
}

AttemptPtr Engine::Find(const std::string& id) const {
  const auto found = open_.find(id);
  return found == open_.end() ? nullptr : found->second;
}

bool Engine::Cancel(const std::string& id) {
  const AttemptPtr attempt = Find(id);
  if (!attempt) {
    return false;
  }
  Close(*attempt, AttemptState::kCancelled);
  RemoveEnded();
  return true;
}

void Engine::StallAll() {
  for (auto& [id, attempt] : open_) {
    attempt->stalled = true;
  }
}

void Engine::DropAll() {
  const auto dropped = open_;
  for (const auto& [id, attempt] : dropped) {
    Close(*attempt, AttemptState::kFailed);
  }
  RemoveEnded();
}

void Engine::Close(Attempt& attempt, AttemptState state) {
  if (attempt.ended_ms >= 0) {
    return;
  }
  attempt.state = state;
  attempt.ended_ms = standin_->now_ms();
  open_.erase(attempt.id);
  if (state != AttemptState::kFinished && !attempt.exchange->closed()) {
    DropConnection(attempt.exchange);
  }
}

void Engine::RemoveEnded() {
  const auto ended = [](const AttemptPtr& a) { return a->ended_ms >= 0; };
  std::erase_if(running_, ended);
  std::erase_if(waiting_,
                [&](const auto& entry) { return ended(entry.second); });
}

void Engine::Admit() {
  while (running_.size() < options_.slots && !waiting_.empty()) {
    const AttemptPtr attempt = waiting_.begin()->second;
    waiting_.erase(waiting_.begin());
    StartAttempt(attempt);
    running_.push_back(attempt);
  }
}

void Engine::StartAttempt(const AttemptPtr& attempt) {
  attempt->state = AttemptState::kRunning;
  attempt->started_ms = standin_->now_ms();
  const uint64_t needed = attempt->prompt_tokens + attempt->from;
  const std::vector<uint64_t> blocks = BlockHashes(WholeText(*attempt));
  const size_t cached_blocks = cache_.Use(blocks);
  attempt->cached_tokens =
      std::min<uint64_t>(cached_blocks * kBlockWords, needed);
  const uint64_t covered = std::min(
      needed, std::max(attempt->cached_tokens, attempt->imported_tokens));
  attempt->prefill_left = needed - covered;
  if (attempt->from > 0) {
    attempt->recomputed_tokens = attempt->prefill_left;
  } else {
    std::for_each(blocks.begin() + static_cast<ptrdiff_t>(cached_blocks),
                  blocks.end(),
                  [&](uint64_t block) { ++blocks_prefilled_[block]; });
  }
  cache_.Insert(blocks, standin_->loop().now());
  if (attempt->stream) {
    attempt->exchange->Begin(kOk, {{"content-type", "text/event-stream"}});
  }
}

double Engine::SlowFactor() const {
  return std::max(standin_->faults().Number("slow_factor", 1), 0.001);
}

void Engine::Prefill(Attempt& attempt, uint64_t& budget) const {
  const uint64_t done = std::min(attempt.prefill_left, budget);
  attempt.prefill_left -= done;
  attempt.prefilled_tokens += done;
  budget -= done;
}

void Engine::StartStep() {
  Admit();
  if (running_.empty()) {
    stepping_ = false;
    return;
  }
  stepping_ = true;
  const uint64_t wanted = std::accumulate(
      running_.begin(), running_.end(), uint64_t{0},
      [](uint64_t sum, const auto& a) { return sum + a->prefill_left; });
  step_prefill_ = std::min<uint64_t>(wanted, options_.prefill_chunk);
  const auto work = options_.token_time +
                    options_.prefill_time * static_cast<int64_t>(step_prefill_);
  const auto delay = std::chrono::duration_cast<Duration>(work * SlowFactor());
  step_timer_ = standin_->loop().After(delay, [this] { FinishStep(); });
}

void Engine::FinishStep() {
  uint64_t budget = step_prefill_;
  const std::vector<AttemptPtr> batch = running_;
  for (const AttemptPtr& attempt : batch) {
    if (attempt->ended_ms >= 0 || attempt->stalled) {
      continue;
    }
    if (attempt->prefill_left > 0) {
      Prefill(*attempt, budget);
    } else {
      Emit(*attempt);
    }
  }
  RemoveEnded();
  StartStep();
}

std::string Engine::ChunkEvent(const Attempt& attempt, uint64_t index,
                               std::string_view text) const {
  // The text is plain ASCII and needs no escaping.
  const std::string_view finish =
      index + 1 == attempt.max_tokens ? "\"stop\"" : "null";
  std::string event = fmt::format(
      "id: {}\ndata: {{\"id\":\"{}\",\"object\":\"chat.completion.chunk\","
      "\"model\":\"{}\",\"choices\":[{{\"index\":0,\"delta\":{{\"content\":"
      "\"{}\"}},\"finish_reason\":{}}}]",
      index, attempt.id, attempt.model, text, finish);
  if (index + 1 == attempt.max_tokens) {
    event += ",\"usage\":" + Usage(attempt).dump();
  }
  return event + "}\n\n";
}

void Engine::EmitToken(Attempt& attempt, std::string& out) {
  const uint64_t index = attempt.next++;
  ++tokens_made_;
  std::string event =
      ChunkEvent(attempt, index, AnswerToken(attempt.prompt, index));
  const Faults& faults = standin_->faults();
  if (absl::Bernoulli(random_, faults.Number("garble_rate", 0))) {
    event = fmt::format("id: {}\ndata: {{\"id\":\"{}\", garbled\n\n", index,
                        attempt.id);
  }
  if (absl::Bernoulli(random_, faults.Number("foreign_rate", 0))) {
    Attempt other = attempt;
    other.id = "foreign-attempt";
    out += ChunkEvent(other, index, " foreign");
  }
  if (absl::Bernoulli(random_, faults.Number("reorder_rate", 0)) &&
      index + 1 < attempt.max_tokens && attempt.delayed_event.empty()) {
    attempt.delayed_event = std::move(event);
    return;
  }
  out += event;
  if (absl::Bernoulli(random_, faults.Number("duplicate_rate", 0))) {
    out += event;
  }
  out += std::exchange(attempt.delayed_event, {});
}

void Engine::Emit(Attempt& attempt) {
  std::string out;
  for (uint64_t made = 0;
       made < options_.tokens_per_step && attempt.next < attempt.max_tokens;
       ++made) {
    if (attempt.stream) {
      EmitToken(attempt, out);
    } else {
      ++attempt.next;
      ++tokens_made_;
    }
  }
  if (attempt.next >= attempt.max_tokens) {
    Finish(attempt, out);
  } else if (!out.empty()) {
    attempt.exchange->Write(out);
  }
}

void Engine::Finish(Attempt& attempt, std::string& out) {
  cache_.Insert(BlockHashes(attempt.prompt +
                            AnswerText(attempt.prompt, 0, attempt.max_tokens)),
                standin_->loop().now());
  Close(attempt, AttemptState::kFinished);
  if (!attempt.stream) {
    RespondWhole(attempt);
    return;
  }
  if (attempt.from == attempt.max_tokens) {
    // The attempt resumed after the last token, so the finish reason needs an
    // event of its own.
    out += fmt::format(
        "data: {{\"id\":\"{}\",\"object\":\"chat.completion.chunk\","
        "\"model\":\"{}\",\"choices\":[{{\"index\":0,\"delta\":{{}},"
        "\"finish_reason\":\"stop\"}}],\"usage\":{}}}\n\n",
        attempt.id, attempt.model, Usage(attempt).dump());
  }
  out += "data: [DONE]\n\n";
  attempt.exchange->Write(out);
  attempt.exchange->End();
}

void Engine::RespondWhole(Attempt& attempt) {
  const Json message = {{"role", "assistant"},
                        {"content", AnswerText(attempt.prompt, attempt.from,
                                               attempt.max_tokens)}};
  RespondJson(
      attempt.exchange, kOk,
      {{"id", attempt.id},
       {"object", "chat.completion"},
       {"model", attempt.model},
       {"choices",
        {{{"index", 0}, {"message", message}, {"finish_reason", "stop"}}}},
       {"usage", Usage(attempt)}});
}

uint64_t Engine::queued_tokens() const {
  const auto left = [](uint64_t sum, const AttemptPtr& attempt) {
    return sum + attempt->prefill_left + attempt->max_tokens - attempt->next;
  };
  uint64_t sum =
      std::accumulate(running_.begin(), running_.end(), uint64_t{0}, left);
  for (const auto& [key, attempt] : waiting_) {
    sum = left(sum, attempt) + attempt->prompt_tokens;
  }
  return sum;
}

uint64_t Engine::kv_used_tokens() const {
  const uint64_t live =
      std::accumulate(running_.begin(), running_.end(), uint64_t{0},
                      [](uint64_t sum, const auto& a) {
                        return sum + a->prompt_tokens + a->next;
                      });
  return live + cache_.size() * kBlockWords;
}

double Engine::tokens_per_second() const {
  const std::chrono::duration<double> step = options_.token_time * SlowFactor();
  return step.count() > 0
             ? static_cast<double>(options_.tokens_per_step * options_.slots) /
                   step.count()
             : 1e6;
}

double Engine::prefill_tokens_per_second() const {
  const std::chrono::duration<double> one =
      options_.prefill_time * SlowFactor();
  return one.count() > 0 ? 1 / one.count() : 1e6;
}

Json Engine::Records() const {
  Json attempts = Json::array();
  std::ranges::transform(
      all_, std::back_inserter(attempts),
      [](const AttemptPtr& attempt) { return RecordOf(*attempt); });
  Json blocks = Json::object();
  for (const auto& [block, times] : blocks_prefilled_) {
    blocks[fmt::format("{:016x}", block)] = times;
  }
  return {{"id", options_.id},
          {"attempts", std::move(attempts)},
          {"blocks_prefilled", std::move(blocks)},
          {"tokens_made", tokens_made_}};
}

}  // namespace oleander::standins
