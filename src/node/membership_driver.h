// Runs the membership part: its messages, its clock, and who learns of changes.
#ifndef OLEANDER_NODE_MEMBERSHIP_DRIVER_H_
#define OLEANDER_NODE_MEMBERSHIP_DRIVER_H_

#include <functional>
#include <vector>

#include "io/event_loop.h"
#include "oleander/membership.h"
#include "oleander/requests.h"

namespace oleander::node {

class MembershipDriver {
 public:
  struct Callbacks {
    std::function<void(const InstanceId& to, const MembershipMessage& message)>
        send;
    // Some member's state changed.
    std::function<void()> on_change;
    std::function<void(const InstanceId& peer)> reset_connection;
  };

  MembershipDriver(io::EventLoop& loop, const InstanceInfo& self,
                   const MembershipOptions& options, uint64_t seed,
                   Callbacks callbacks);

  void SetCandidates(const std::vector<InstanceInfo>& candidates);
  void OnMessage(const InstanceId& from, const MembershipMessage& message);
  void Leave();
  void Depart();
  void Tick();

  const Membership& membership() const { return membership_; }
  // The instances of `region` as the request table wants them.
  std::vector<PeerView> PeersIn(const RegionId& region) const;
  // Live instances of all regions, this one included.
  std::vector<InstanceInfo> Live() const;

 private:
  void Pump();
  void Perform(const SendMembershipMessage& action);
  void Perform(const MemberChanged& action);
  void Perform(const NeighboursChanged& action);
  void Perform(const ResetConnection& action);

  io::EventLoop& loop_;
  Membership membership_;
  Callbacks callbacks_;
};

}  // namespace oleander::node

#endif  // OLEANDER_NODE_MEMBERSHIP_DRIVER_H_
