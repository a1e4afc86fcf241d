#include "oleander/weight_loading.h"

#include <algorithm>

namespace oleander {

WeightLoadQueue::WeightLoadQueue(const WeightLoadingOptions& options)
    : options_(options) {}

void WeightLoadQueue::Add(Time now, const WeightLoad& load) {
  DropTimedOut(now);
  const auto running = loading_.find(load.server);
  if (running != loading_.end() && running->second.load.model == load.model) {
    return;
  }
  std::erase_if(waiting_, [&](const WeightLoad& other) {
    return other.server == load.server && other.model == load.model;
  });
  const auto position = std::ranges::find_if(
      waiting_,
      [&](const WeightLoad& other) { return other.urgency < load.urgency; });
  waiting_.insert(position, load);
}

void WeightLoadQueue::Remove(const ServerId& server) {
  loading_.erase(server);
  std::erase_if(waiting_,
                [&](const WeightLoad& load) { return load.server == server; });
}

void WeightLoadQueue::OnLoaded(Time now, const ServerId& server) {
  DropTimedOut(now);
  loading_.erase(server);
}

void WeightLoadQueue::OnThrottled(Time now, const ServerId& server,
                                  Duration retry_after) {
  not_before_ = std::max(not_before_, now + retry_after);
  const auto running = loading_.find(server);
  if (running == loading_.end()) return;
  waiting_.insert(waiting_.begin(), running->second.load);
  loading_.erase(running);
}

std::vector<WeightLoad> WeightLoadQueue::Start(Time now) {
  DropTimedOut(now);
  std::vector<WeightLoad> started;
  while (next_start() <= now) {
    const auto next = std::ranges::find_if(waiting_, [&](const auto& load) {
      return !loading_.contains(load.server);
    });
    if (next == waiting_.end()) break;
    started.push_back(*next);
    loading_[next->server] = {*next, now};
    waiting_.erase(next);
    not_before_ = now + options_.spacing;
  }
  return started;
}

Time WeightLoadQueue::next_start() const {
  if (waiting_.empty() ||
      loading_.size() >= static_cast<size_t>(options_.max_concurrent)) {
    return Time::max();
  }
  return not_before_;
}

void WeightLoadQueue::DropTimedOut(Time now) {
  absl::erase_if(loading_, [&](const auto& entry) {
    return now - entry.second.since > options_.load_timeout;
  });
}

}  // namespace oleander
