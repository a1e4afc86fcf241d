// Paces the loading of model weights to the weight store's rate limit.
//
// When many engines start together, as after a wave of reclaims, all of them
// need weights at the same time. The store serves only a few loads concurrently
// and refuses the others. The queue limits concurrent loads and the rate of
// starts, and starts the most urgent load first.
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
  // Higher goes first; loads of equal urgency start in order of arrival.
  int urgency = 0;

  auto operator<=>(const WeightLoad&) const = default;
};

struct WeightLoadingOptions {
  int max_concurrent = 2;  // Loads at the same time.
  // Minimum time between two starts.
  Duration spacing = std::chrono::seconds(1);
  // A load that hasn't ended by then no longer counts as loading.
  Duration load_timeout = std::chrono::minutes(10);
};

class WeightLoadQueue {
 public:
  explicit WeightLoadQueue(const WeightLoadingOptions& options = {});

  // Queues the load of a model's weights on a server. A load that is already in
  // progress is not queued again; one that is already queued is replaced.
  void Add(Time now, const WeightLoad& load);
  // Removes the server's loads, because it was removed or no longer needs the
  // weights.
  void Remove(const ServerId& server);
  void OnLoaded(Time now, const ServerId& server);
  // Handles a 429 response of the store: the load returns to the head of the
  // queue, and no load starts before `retry_after` has passed.
  void OnThrottled(Time now, const ServerId& server, Duration retry_after);
  // Returns the loads to start now. Each counts as loading until OnLoaded,
  // OnThrottled or Remove, or until load_timeout has passed.
  std::vector<WeightLoad> Start(Time now);

  size_t waiting() const { return waiting_.size(); }
  size_t loading() const { return loading_.size(); }
  // Returns when Start may next return a load; Time::max() if the queue is
  // empty or a running load has to end first.
  Time next_start() const;

 private:
  struct Loading {
    WeightLoad load;
    Time since;
  };

  void DropTimedOut(Time now);

  WeightLoadingOptions options_;
  std::vector<WeightLoad> waiting_;  // In starting order.
  absl::flat_hash_map<ServerId, Loading> loading_;
  Time not_before_{};
};

}  // namespace oleander

#endif  // OLEANDER_WEIGHT_LOADING_H_
