// What an instance keeps about one neighbour: when it was heard, and which
// claims it has yet to be told.
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
  Time heard;           // Directly, whatever the message.
  Time expected;        // When its next heartbeat must have come.
  Time next_probe = Time::max();
  int probe_round = 0;
  Time reset_at{};
  Time news_at = Time::max();  // When news go out without a heartbeat.
  Time last_news{};
  // Claims to pass on, each with how often still.
  std::map<InstanceId, int> pending;

  // Takes note of a sign of life.
  void Heard(Time now, Duration grace);
  // Has a claim about `id` sent `repeats` times, the first within
  // `news_every` of the last news.
  void Queue(const InstanceId& id, int repeats, Time now, Duration news_every);
  // The members to make claims about in the next message, those told least
  // often first; each counts as told once.
  std::vector<InstanceId> TakePending(size_t most);
};

}  // namespace oleander::parts

#endif  // OLEANDER_PARTS_GOSSIP_LINK_H_
