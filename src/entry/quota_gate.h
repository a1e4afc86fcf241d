// Admits calls within the quotas of their workspaces. Connects the decisions of
// workspace_quotas and quota_allocator to the event loop and the mesh.
//
// An instance sends quota requests to the allocators, and is an allocator
// itself for the groups of workspaces that the ranking assigns to it. Requests
// to itself need no message.
#ifndef OLEANDER_ENTRY_QUOTA_GATE_H_
#define OLEANDER_ENTRY_QUOTA_GATE_H_

#include <array>
#include <cstdint>
#include <functional>
#include <optional>

#include "absl/container/flat_hash_map.h"
#include "io/event_loop.h"
#include "mesh.pb.h"
#include "oleander/agreed_clock.h"
#include "oleander/quota_allocator.h"
#include "oleander/workspace_quotas.h"

namespace oleander::entry {

// One per instance; both the requesting and the allocating side.
class QuotaGate {
 public:
  using Send =
      std::function<void(const InstanceId& to, const mesh::Envelope& message)>;
  // Empty if the call is admitted; otherwise the time after which its caller
  // may retry.
  using Done = std::function<void(std::optional<Duration> retry_after)>;
  // Called with the correction when the agreed clock changes.
  using ClockListener = std::function<void(Duration change)>;

  QuotaGate(io::EventLoop& loop, AgreedClock& clock, InstanceId self,
            const QuotaBound& bound, uint64_t seed);

  void OnSend(Send send) { send_ = std::move(send); }
  void OnClockChange(ClockListener on_change) {
    on_clock_change_ = std::move(on_change);
  }

  void SetQuotas(const ServingConfig& config);
  // Sets the number of live instances and the allocators of each group.
  void SetInstances(size_t instances, AllocatorRanking ranking);

  // Requests `cost` of the quota. `done` is called once: before this returns if
  // no other instance has to decide, otherwise within `max_wait` and about one
  // iteration of the event loop.
  void Take(const WorkspaceId& workspace, double cost, Duration max_wait,
            const Done& done);
  // Credits the quota with the cost of an admitted call that was not sent.
  void Refund(const WorkspaceId& workspace, double cost);
  // Handles a quota request or a grant from a peer.
  void OnMessage(const InstanceId& from, const mesh::Envelope& message);
  // Stops allocating: further requests are redirected to the next allocator.
  void Retire() { retired_ = true; }

 private:
  // Sends pending requests and grants, calls back with decisions and sets the
  // timer.
  void ProcessPending();
  void SendGrant(const InstanceId& to, const QuotaGrant& grant);
  void SendRequest(const OutgoingQuotaRequest& outgoing);
  QuotaGrant MakeGrant(const InstanceId& from, const QuotaRequest& request);
  void OnGrant(const InstanceId& from, const QuotaGrant& grant);
  // Corrects the agreed clock from the time in a grant.
  void CompareClocks(const InstanceId& from, const entrywire::QuotaGrant& wire);

  // The last request of a group that was sent over the mesh.
  struct SentRequest {
    uint64_t round = 0;
    Time at;
  };

  io::EventLoop& loop_;
  AgreedClock& clock_;
  InstanceId self_;
  WorkspaceQuotas quotas_;
  QuotaAllocator allocator_;
  Send send_;
  ClockListener on_clock_change_;
  bool retired_ = false;
  bool processing_ = false;
  std::array<SentRequest, kQuotaGroups> sent_requests_ = {};
  absl::flat_hash_map<uint64_t, Done> waiting_;  // By ticket.
  Time timer_due_ = Time::max();
  io::Timer timer_;
};

}  // namespace oleander::entry

#endif  // OLEANDER_ENTRY_QUOTA_GATE_H_
