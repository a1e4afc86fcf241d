// The order of one answer's events.
//
// An answer is a row of numbered events. It may come from several attempts, one
// after another: the first engine may be reclaimed at event 40 and a second one
// goes on from there. Between the engine and the caller events can be late,
// doubled, out of order, or belong to an attempt that was given up. The
// sequencer passes on exactly the current attempt's next event, each once.
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

// Names one attempt at one request. Epochs rise with each change of home,
// attempts with each dispatch within an epoch.
struct AttemptKey {
  RequestId id;
  uint64_t epoch = 0;
  uint32_t attempt = 0;

  auto operator<=>(const AttemptKey&) const = default;
};

// The name under which an engine knows the attempt (X-Request-Id). `home` makes
// it unique when two instances take themselves for the home at once.
std::string AttemptName(const AttemptKey& key, const InstanceId& home);

// One event of an answer, with its place.
struct StreamEvent {
  uint64_t epoch = 0;
  uint32_t attempt = 0;
  uint64_t index = 0;  // From the start of the whole answer.
  std::string data;
};

// What became of offered events, for metrics.
struct SequencerCounts {
  uint64_t passed = 0;
  uint64_t duplicate = 0;   // Of the current attempt, seen before.
  uint64_t foreign = 0;     // Of another attempt or epoch.
  uint64_t reordered = 0;   // Buffered until the ones before it came.
  uint64_t overflowed = 0;  // Too far ahead to be buffered; dropped.
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
  // Faults that tests switch on to show that they would be noticed.
  bool mutation_skip_attempt_check = false;
};

// Passes on each event of an answer once and in order.
//
// Invariants: `next()` never falls; every event passed on has the index that
// was next and belongs to the current attempt.
class EventSequencer {
 public:
  // `next` is the first event that is wanted.
  explicit EventSequencer(SequencerOptions options = {}, uint64_t next = 0);

  // Makes (epoch, attempt) the current attempt; `from` is the index it starts
  // at and must be next(). Events of earlier attempts count as foreign from
  // now on, and what was buffered is dropped.
  void StartAttempt(uint64_t epoch, uint32_t attempt, uint64_t from);

  // Takes one event; what became passable is in TakeReady().
  OfferResult Offer(StreamEvent event);

  // The events that became passable since the last call, in order. The first
  // has the index next() - result.size().
  std::vector<std::string> TakeReady();

  // Whether the current attempt may end as a whole answer: OK, or kAnswerGap
  // where events are missing. `total` is the number of events of the whole
  // answer as the server counts them, where it says so.
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
