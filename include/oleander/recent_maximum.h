// The largest of the values that were observed within a time.
//
//   RecentMaximum instances(std::chrono::minutes(30));
//   instances.Observe(now, 8);       // Returns 8.
//   instances.Observe(later, 4);     // 8, for half an hour from the first.
#ifndef OLEANDER_RECENT_MAXIMUM_H_
#define OLEANDER_RECENT_MAXIMUM_H_

#include <cstddef>
#include <deque>

#include "oleander/types.h"

namespace oleander {

class RecentMaximum {
 public:
  // Values are forgotten after `memory`.
  explicit RecentMaximum(Duration memory) : memory_(memory) {}

  // Adds a value and returns the largest one within the memory.
  size_t Observe(Time now, size_t value) {
    while (!values_.empty() && values_.back().value <= value) {
      values_.pop_back();
    }
    values_.push_back({.at = now, .value = value});
    while (now - values_.front().at > memory_) {
      values_.pop_front();
    }
    return values_.front().value;
  }

 private:
  struct Value {
    Time at;
    size_t value = 0;
  };

  Duration memory_;
  // Each is smaller than the one before.
  std::deque<Value> values_;
};

}  // namespace oleander

#endif  // OLEANDER_RECENT_MAXIMUM_H_
