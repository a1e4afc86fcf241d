// State of the link to one neighbour: when the neighbour last sent something,
// probes of it, and the claims that are still to be sent to it.
#ifndef OLEANDER_PARTS_GOSSIP_LINK_H_
#define OLEANDER_PARTS_GOSSIP_LINK_H_

#include <cstdint>
#include <map>
#include <vector>

#include "oleander/membership.h"
#include "oleander/types.h"

namespace oleander::parts {

// Returns the approximate size of a claim in a message, in bytes.
size_t ClaimBytes(const MemberUpdate& claim);

struct GossipLink {
  Duration interval{};  // Between two heartbeats, in each direction.
  Time last_received;   // Time of the last message of any kind from the peer.
  Time heartbeat_due;   // The first probe is sent if nothing arrives by then.
  Time next_probe = Time::max();  // Time::max(): no probe is in progress.
  int probe_round = 0;            // Rounds since the peer's last message.
  Time last_reset{};              // Time of the last ResetConnection.
  // When pending claims are sent without waiting for a heartbeat.
  Time next_update = Time::max();
  Time last_update{};
  // Members about which claims are to be sent, with the number of repeats left.
  std::map<InstanceId, int> pending;

  // Records that a message has arrived; ends probes of the peer.
  void OnReceived(Time now, Duration grace);
  // Schedules a claim about `id` to be sent `repeats` times, first at
  // `update_interval` after the last update, or now if that has passed.
  void QueueClaim(const InstanceId& id, int repeats, Time now,
                  Duration update_interval);
  // Returns up to `max_claims` members for the next message, those with the
  // most repeats left first, and counts one repeat of each as sent.
  std::vector<InstanceId> TakePending(size_t max_claims);
};

}  // namespace oleander::parts

#endif  // OLEANDER_PARTS_GOSSIP_LINK_H_
