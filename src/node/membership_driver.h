// Runs the membership protocol: passes it messages and the time, sends its
// messages, and reports changes. A member is an entry instance that the
// protocol knows.
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
    // The state of a member or the set of neighbours changed.
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
  // Returns the other instances of `region` in the form that the request table
  // uses.
  std::vector<PeerView> PeersIn(const RegionId& region) const;
  // Returns this instance and the reachable instances of all regions.
  std::vector<InstanceInfo> Live() const;

 private:
  void ExecuteActions();
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
