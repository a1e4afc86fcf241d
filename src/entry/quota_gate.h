// Lets calls through within their workspaces' quotas: wires the decisions of
// workspace_quotas and quota_allocator to the loop and the mesh.
//
// An instance asks the allocators, and is one itself where the ranking says so;
// a question to itself takes no message.
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

class QuotaGate {
 public:
  using Send =
      std::function<void(const InstanceId& to, const mesh::Envelope& message)>;
  // Nothing: the call passes. Else when its caller is to come back.
  using Done = std::function<void(std::optional<Duration> retry_after)>;
  // The agreed clock was changed by so much.
  using ClockListener = std::function<void(Duration change)>;

  QuotaGate(io::EventLoop& loop, AgreedClock& clock, InstanceId self,
            const QuotaBound& bound, uint64_t seed);

  void OnSend(Send send) { send_ = std::move(send); }
  void OnClockChange(ClockListener on_change) {
    on_clock_change_ = std::move(on_change);
  }

  void SetQuotas(const ServingConfig& config);
  // How many instances serve, and whom to ask.
  void SetInstances(size_t instances, AllocatorRanking ranking);

  // `done` is called once: at once where the quota is known to have room, else
  // within `patience` and about one round of the loop.
  void Take(const WorkspaceId& workspace, double cost, Duration max_wait,
            const Done& done);
  // A call was let through and isn't sent after all.
  void Refund(const WorkspaceId& workspace, double cost);
  void OnMessage(const InstanceId& from, const mesh::Envelope& message);
  // Who asks is sent on to the next allocator.
  void Retire() { retired_ = true; }

 private:
  // Sends what has come up, tells who waits, and sets the timer anew.
  void Pump();
  void SendGrant(const InstanceId& to, const QuotaGrant& grant);
  void SendRequest(const OutgoingQuotaRequest& outgoing);
  QuotaGrant MakeGrant(const InstanceId& from, const QuotaRequest& request);
  void OnGrant(const InstanceId& from, const QuotaGrant& grant);
  void CompareClocks(const InstanceId& from, const entrywire::QuotaGrant& wire);

  // The last question of a group that went over the mesh.
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
  bool pumping_ = false;
  std::array<SentRequest, kQuotaGroups> sent_requests_ = {};
  absl::flat_hash_map<uint64_t, Done> waiting_;  // By ticket.
  Time timer_due_ = Time::max();
  io::Timer timer_;
};

}  // namespace oleander::entry

#endif  // OLEANDER_ENTRY_QUOTA_GATE_H_
