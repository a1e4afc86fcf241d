// What an instance keeps about one neighbour: when it was last_received, and
// which claims it has yet to be told.
#ifndef OLEANDER_PARTS_GOSSIP_LINK_H_
#define OLEANDER_PARTS_GOSSIP_LINK_H_

#include <cstdint>
#include <map>
#include <vector>

#include "oleander/membership.h"
#include "oleander/types.h"

namespace oleander::parts {

// About what a claim takes up in a message.
size_t ClaimBytes(const MemberUpdate& claim);

struct GossipLink {
  Duration interval{};  // Between heartbeats, both ways.
  Time last_received;   // Directly, whatever the message.
  Time heartbeat_due;   // When its next heartbeat must have come.
  Time next_probe = Time::max();
  int probe_round = 0;
  Time last_reset{};
  Time next_update = Time::max();  // When news go out without a heartbeat.
  Time last_update{};
  // Claims to pass on, each with how often still.
  std::map<InstanceId, int> pending;

  // Takes note of a sign of life.
  void OnReceived(Time now, Duration grace);
  // Has a claim about `id` sent `repeats` times, the first within
  // `update_interval` of the last news.
  void QueueClaim(const InstanceId& id, int repeats, Time now,
                  Duration update_interval);
  // The members to make claims about in the next message, those told least
  // often first; each counts as told once.
  std::vector<InstanceId> TakePending(size_t max_claims);
};

}  // namespace oleander::parts

#endif  // OLEANDER_PARTS_GOSSIP_LINK_H_
