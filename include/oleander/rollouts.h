// Roll-outs: the traffic of a service moves from one software version to
// another, in stages, as long as the new version proves good.
//
// An operator orders a roll-out: a service, the version to move to, and how
// long it may take. Servers of that version, the target, start beside the
// others. One instance, the holder of the roll-outs, decides on the stage and
// keeps it in the store; the others hear of it and split their calls
// accordingly. At first the target gets a small share of the calls, the canary
// share; while the answers are good, the holder raises the stage until the
// target gets all of them. Then the earlier version ends. If the answers are
// bad, all calls go back to the earlier version.
//
// This file has the values that instances exchange. RolloutSplit
// (rollout_split.h) applies them at one instance, RolloutControl
// (rollout_control.h) decides on the stages. docs/design/rollouts.md describes
// them.
//
// Designed for up to 360 instances that each see a few calls a second of a
// service, and for versions that fail or are slow at once, late, under load
// only, or on one route only.
#ifndef OLEANDER_ROLLOUTS_H_
#define OLEANDER_ROLLOUTS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "oleander/types.h"

namespace oleander {

// What operators wrote.
struct RolloutOrder {
  ServiceId service;
  std::string target;  // The software version to move to.
  Duration duration{};
  int64_t revision = 0;  // Of the order in the store; the higher is the newer.

  bool operator==(const RolloutOrder&) const = default;
};

enum class RolloutPhase {
  kWaiting,  // No server of the target is ready, or no verdict is possible yet.
  kCanary,   // The target gets the canary share.
  kMoving,   // New calls go to the target; calls at the others end.
  kComplete,  // The earlier version's servers stop at once.
  kReverted,  // The target's servers leave.
};

// The state of one roll-out as the holder stores it.
struct RolloutStage {
  ServiceId service;
  std::string target;
  int64_t order_revision = 0;  // Of the order that it belongs to.
  RolloutPhase phase = RolloutPhase::kWaiting;
  // Share of the calls that begin at the target, in kCanary.
  double share = 0;
  // The share of single routes, where it differs: routes with few calls get a
  // larger one, so that they are judged as well.
  std::map<std::string, double> route_shares;
  // Servers of the target that take calls in kCanary; empty: all of them. With
  // few servers a small share of the calls loads each as usual.
  std::vector<ServerId> canaries;
  // Grows with each change of this stage; the higher is the newer.
  int64_t step = 0;
  WallTime ordered_at;  // When the order was first seen.
  WallTime deadline;    // ordered_at and the duration.
  // Versions that served when the order was first seen, without the target.
  std::vector<std::string> earlier;
  // Other versions that get no calls: targets of earlier orders that were
  // replaced before they had proved good.
  std::vector<std::string> avoided;
  // The target served before, as an earlier version of an order that this one
  // replaced: it needs no proof, and no calls go elsewhere because of it.
  bool proven = false;
  // Calls of the service since ordered_at, and those of them that went to the
  // target, as the holder knew them when it wrote this.
  int64_t arrived = 0;
  int64_t spent = 0;

  bool is_over() const {
    return phase == RolloutPhase::kComplete || phase == RolloutPhase::kReverted;
  }
  bool operator==(const RolloutStage&) const = default;
};

// What one instance saw of one service. There are three kinds, by which of the
// names are empty:
//
//   no version:           all new calls of the service (`sent`), the totals and
//                         the step. One for each active roll-out, always.
//   a version, no route:  `open`, `waiting` and `longest` of this version.
//   a version and route:  the calls, by server at the target only.
//
// Counts (sent, good, failed, times) are those since the last evidence; open
// and waiting are those when the evidence was taken.
struct RolloutEvidence {
  // Buckets of the time to the first event (of a stream) or to the answer, each
  // a factor of the square root of 2 wide: bucket i holds times from 2^(i/2)
  // milliseconds on, the first also shorter, the last also longer ones. Failed
  // calls have none.
  static constexpr size_t kBuckets = 32;

  ServiceId service;
  std::string version;
  std::string route;
  ServerId server;      // Empty except for calls at the target.
  int64_t sent = 0;     // Calls that were sent to a server.
  int64_t good = 0;     // Answered by the server without a failure.
  int64_t failed = 0;   // Lost, broken off, or answered with a failure.
  int64_t open = 0;     // Sent and not ended.
  int64_t waiting = 0;  // Sent, and without a first event or answer.
  Duration longest{};   // Of the calls that ended since the last evidence.
  std::array<int64_t, kBuckets> times{};
  // Of the order to which the totals belong.
  int64_t order_revision = 0;
  // Of the stage of this order that the instance follows; 0 if it has none yet,
  // or none that is recent.
  int64_t step = 0;
  // New calls of the service since this instance learnt of the order, and those
  // of them that were sent to the target.
  int64_t total_calls = 0;
  int64_t total_target = 0;
};

// Where a new call may go.
struct RolloutChoice {
  // The call goes to a server of this version; empty: any but those below, and
  // one of those below only if no other is listed.
  std::optional<std::string> version;
  std::vector<std::string> avoided_versions;
  // If not empty, only these servers of `version` take the call.
  std::vector<ServerId> servers;
};

}  // namespace oleander

#endif  // OLEANDER_ROLLOUTS_H_
