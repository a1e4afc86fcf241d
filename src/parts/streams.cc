#include "oleander/streams.h"

#include <fmt/format.h>

#include <utility>

#include "oleander/invariant.h"
#include "oleander/result_code.h"

namespace oleander {

std::string AttemptName(const AttemptKey& key, const InstanceId& home) {
  return fmt::format("{}.{}.{}.{}", key.id.value(), home.value(), key.epoch,
                     key.attempt);
}

EventSequencer::EventSequencer(SequencerOptions options, uint64_t next)
    : options_(options), next_(next) {}

void EventSequencer::StartAttempt(uint64_t epoch, uint32_t attempt,
                                  uint64_t from) {
  if (!CheckInvariant(from == next_, "attempt_starts_at_next", [&] {
        return fmt::format("Attempt {}.{} starts at event {}, but {} is next.",
                           epoch, attempt, from, next_);
      })) {
    return;
  }
  epoch_ = epoch;
  attempt_ = attempt;
  buffered_.clear();
  buffered_bytes_ = 0;
}

OfferResult EventSequencer::Offer(StreamEvent event) {
  if (!IsCurrent(event)) {
    ++counts_.foreign;
    return OfferResult::kForeign;
  }
  if (event.index < next_ || buffered_.contains(event.index)) {
    ++counts_.duplicate;
    return OfferResult::kDuplicate;
  }
  if (event.index > next_) {
    return Buffer(std::move(event));
  }
  PassOn(std::move(event.data));
  PassBuffered();
  return OfferResult::kPassed;
}

std::vector<std::string> EventSequencer::TakeReady() {
  return std::exchange(ready_, {});
}

absl::Status EventSequencer::CheckComplete(
    std::optional<uint64_t> total) const {
  if (!buffered_.empty()) {
    return MakeError(
        ResultCode::kAnswerGap,
        fmt::format("Event {} is missing although event {} arrived.", next_,
                    buffered_.begin()->first));
  }
  if (total.has_value() && *total != next_) {
    return MakeError(ResultCode::kAnswerGap,
                     fmt::format("The server counts {} events but {} arrived.",
                                 *total, next_));
  }
  return absl::OkStatus();
}

bool EventSequencer::IsCurrent(const StreamEvent& event) const {
  return options_.mutation_skip_attempt_check ||
         (event.epoch == epoch_ && event.attempt == attempt_);
}

OfferResult EventSequencer::Buffer(StreamEvent event) {
  const size_t bytes = buffered_bytes_ + event.data.size();
  if (buffered_.size() >= options_.max_buffered_events ||
      bytes > options_.max_buffered_bytes) {
    ++counts_.overflowed;
    return OfferResult::kOverflowed;
  }
  buffered_bytes_ = bytes;
  buffered_.emplace(event.index, std::move(event.data));
  ++counts_.reordered;
  return OfferResult::kBuffered;
}

void EventSequencer::PassOn(std::string data) {
  ready_.push_back(std::move(data));
  ++next_;
  ++counts_.passed;
}

void EventSequencer::PassBuffered() {
  while (!buffered_.empty() && buffered_.begin()->first == next_) {
    buffered_bytes_ -= buffered_.begin()->second.size();
    PassOn(std::move(buffered_.begin()->second));
    buffered_.erase(buffered_.begin());
  }
}

}  // namespace oleander
