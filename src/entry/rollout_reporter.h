// Reports to the holder of the duty what this instance counted during
// roll-outs. The replies tell the stages, and that they still hold.
//
// With many instances each reports less often, so that the holder gets a
// bounded number of reports a second.
//
// Designed for 8 to 360 instances, and a holder that may be replaced at any
// time.
#ifndef OLEANDER_ENTRY_ROLLOUT_REPORTER_H_
#define OLEANDER_ENTRY_ROLLOUT_REPORTER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <vector>

#include "entry.pb.h"
#include "entry/call_context.h"
#include "entry/rollout_feed.h"
#include "mesh.pb.h"
#include "oleander/rollouts.h"

namespace oleander::entry {

class RolloutReporter {
 public:
  // Sends a message to a peer; returns false if the peer isn't known.
  using Send =
      std::function<bool(const InstanceId& to, const mesh::Envelope& message)>;
  // Takes the counts of this instance if it is the holder itself.
  using OwnCounts = std::function<void(const std::vector<RolloutEvidence>&)>;

  RolloutReporter(CallContext& context, RolloutFeed& feed, InstanceId self,
                  Send send, OwnCounts own_counts)
      : context_(context),
        feed_(feed),
        self_(std::move(self)),
        send_(std::move(send)),
        own_counts_(std::move(own_counts)) {}

  void Start();
  void SetInstances(size_t instances) { instances_ = instances; }
  // Takes a tell of any peer, whether it replies to a report or not.
  void OnTell(const InstanceId& from, const entrywire::RolloutTell& tell);

  // Returns how often one of so many instances reports; more often while the
  // calls move, if the holder bears it.
  static Duration IntervalFor(size_t instances, bool moves = false);

 private:
  struct OpenReport {
    uint64_t number = 0;
    Time sent_at;
  };

  void Tick();
  void Report(const std::vector<RolloutEvidence>& evidence);
  void CountForMetrics(const std::vector<RolloutEvidence>& evidence);
  void LogStaleness();

  CallContext& context_;
  RolloutFeed& feed_;
  InstanceId self_;
  Send send_;
  OwnCounts own_counts_;
  size_t instances_ = 1;
  uint64_t number_ = 0;
  std::deque<OpenReport> open_reports_;  // Newest last.
  bool was_stale_ = false;
  io::Timer timer_;
};

}  // namespace oleander::entry

#endif  // OLEANDER_ENTRY_ROLLOUT_REPORTER_H_
