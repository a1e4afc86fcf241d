// Spaces out the loading of model weights by the weight store's rate limit.
//
// When a wave of reclaims is followed by many starts, each new engine wants its
// weights at once. The store serves few at a time; asking sooner only earns
// refusals. The queue hands out one load per free slot of the store, the most
// urgent first.
#ifndef OLEANDER_WEIGHT_LOADING_H_
#define OLEANDER_WEIGHT_LOADING_H_

#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "oleander/types.h"

namespace oleander {

struct WeightLoad {
  ServerId server;
  std::string model;
  int urgency = 0;  // Higher goes first; equal ones in the order they came.

  auto operator<=>(const WeightLoad&) const = default;
};

struct WeightLoadingOptions {
  int max_concurrent = 2;
  Duration spacing = std::chrono::seconds(1);  // Between two starts.
  Duration load_timeout = std::chrono::minutes(10);
};

class WeightLoadQueue {
 public:
  explicit WeightLoadQueue(const WeightLoadingOptions& options = {});

  // A server needs a model's weights; a pair that is queued or loading already
  // is taken once.
  void Add(Time now, const WeightLoad& load);
  // The server is gone, or needs the weights no more.
  void Remove(const ServerId& server);
  void OnLoaded(Time now, const ServerId& server);
  // The store answered 429: nothing starts before `retry_after` has passed, and
  // the load goes back to the head.
  void OnThrottled(Time now, const ServerId& server, Duration retry_after);
  // The loads to start now; each counts as loading until OnLoaded, OnThrottled
  // or Remove.
  std::vector<WeightLoad> Start(Time now);

  size_t waiting() const { return waiting_.size(); }
  size_t loading() const { return loading_.size(); }
  // When Start may next return something; Time::max() where nothing waits or a
  // load has to end first.
  Time next_start() const;

 private:
  struct Loading {
    WeightLoad load;
    Time since;
  };

  void DropTimedOut(Time now);

  WeightLoadingOptions options_;
  std::vector<WeightLoad> waiting_;  // In order of start.
  absl::flat_hash_map<ServerId, Loading> loading_;
  Time not_before_{};
};

}  // namespace oleander

#endif  // OLEANDER_WEIGHT_LOADING_H_
