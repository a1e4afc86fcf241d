// Orders the events of one answer.
//
// An answer is a sequence of numbered events. It may come from several
// attempts, one after another: if the first engine is reclaimed at event 40, a
// second one continues from there. Between the engine and the caller, events
// may be late, duplicated, out of order, or belong to an abandoned attempt. The
// sequencer passes on exactly the next event of the current attempt, each event
// once.
//
//   EventSequencer sequencer({.max_buffered_events = 64});
//   sequencer.StartAttempt(/*epoch=*/1, /*attempt=*/1, /*from=*/0);
//   sequencer.Offer({.epoch = 1, .attempt = 1, .index = 1, .data = "b"});
//   sequencer.Offer({.epoch = 1, .attempt = 1, .index = 0, .data = "a"});
//   sequencer.TakeReady();  // {"a", "b"}
#ifndef OLEANDER_STREAMS_H_
#define OLEANDER_STREAMS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "oleander/types.h"

namespace oleander {

// Identifies one attempt at one request. The home of a request is its primary
// instance. The epoch rises with each change of home, the attempt number with
// each dispatch within an epoch.
struct AttemptKey {
  RequestId id;
  uint64_t epoch = 0;
  uint32_t attempt = 0;

  auto operator<=>(const AttemptKey&) const = default;
};

// Returns the name by which an engine knows the attempt (X-Request-Id). `home`
// makes it unique when two instances act as home at the same time.
std::string AttemptName(const AttemptKey& key, const InstanceId& home);

// One event of an answer and its position.
struct StreamEvent {
  uint64_t epoch = 0;
  uint32_t attempt = 0;
  uint64_t index = 0;  // From the start of the complete answer.
  std::string data;
};

// Counts of offered events by result, for metrics.
struct SequencerCounts {
  uint64_t passed = 0;
  uint64_t duplicate = 0;   // Current attempt, received before.
  uint64_t foreign = 0;     // From another attempt or epoch.
  uint64_t reordered = 0;   // Buffered until the events before it arrived.
  uint64_t overflowed = 0;  // Beyond the buffer's limits; dropped.
};

enum class OfferResult {
  kPassed,
  kBuffered,
  kDuplicate,
  kForeign,
  kOverflowed
};

struct SequencerOptions {
  size_t max_buffered_events = 256;
  size_t max_buffered_bytes = 64 << 10;
  // Fault injection: tests disable a check to show that they detect it.
  bool mutation_skip_attempt_check = false;
};

// Passes on each event of an answer once and in order.
//
// Invariants: `next()` never decreases; every event passed on has the index
// `next()` and belongs to the current attempt.
class EventSequencer {
 public:
  // `next` is the index of the first event to pass on.
  explicit EventSequencer(SequencerOptions options = {}, uint64_t next = 0);

  // Makes (epoch, attempt) the current attempt. `from` is the index of its
  // first event and must be next(). Buffered events are dropped, and later
  // events of earlier attempts count as foreign.
  void StartAttempt(uint64_t epoch, uint32_t attempt, uint64_t from);

  // Accepts one event; TakeReady() returns the events that it makes ready.
  OfferResult Offer(StreamEvent event);

  // Returns the events that became ready since the last call, in order. The
  // first has the index next() - result.size().
  std::vector<std::string> TakeReady();

  // Returns OK if the answer is complete, or kAnswerGap if events are missing.
  // `total` is the server's count of the events of the complete answer, if
  // known.
  absl::Status CheckComplete(std::optional<uint64_t> total) const;

  uint64_t next() const { return next_; }
  const SequencerCounts& counts() const { return counts_; }

 private:
  bool IsCurrent(const StreamEvent& event) const;
  OfferResult Buffer(StreamEvent event);
  void PassOn(std::string data);
  void PassBuffered();

  SequencerOptions options_;
  uint64_t epoch_ = 0;
  uint32_t attempt_ = 0;
  uint64_t next_ = 0;
  std::map<uint64_t, std::string> buffered_;
  size_t buffered_bytes_ = 0;
  std::vector<std::string> ready_;
  SequencerCounts counts_;
};

}  // namespace oleander

#endif  // OLEANDER_STREAMS_H_
