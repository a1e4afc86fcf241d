// Runs the profile store: executes its store calls, sends its messages, and
// submits the operators' edits. Profiles are the configuration of services.
#ifndef OLEANDER_NODE_PROFILE_DRIVER_H_
#define OLEANDER_NODE_PROFILE_DRIVER_H_

#include <functional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "io/event_loop.h"
#include "node/store_gateway.h"
#include "oleander/profiles.h"

namespace oleander::node {

class ProfileDriver {
 public:
  using SendMessage =
      std::function<void(const InstanceId& to, const ProfileMessage& message)>;

  ProfileDriver(io::EventLoop& loop, StoreGateway& store,
                const InstanceInfo& self, const ProfileOptions& options,
                uint64_t seed, SendMessage send_message,
                std::function<void(const ProfileApplied&)> on_applied);

  void OnMembers(const std::vector<InstanceInfo>& live,
                 const std::vector<InstanceId>& neighbours);
  void OnDigest(const InstanceId& from, const ProfileDigest& digest);
  void OnMessage(const InstanceId& from, const ProfileMessage& message);
  // Submits an edit. Calls `done` once, with the outcome.
  void Edit(const ProfileEdit& edit, std::function<void(const EditDone&)> done);
  // Waits until the revision is in force on all members of all domains, or for
  // `bound` at most. Calls `done` once, with the last report.
  void WaitInForce(const ProfileName& name, int64_t revision, Duration bound,
                   std::function<void(const InForceReport&)> done);
  void Tick();

  ProfileStore& profiles() { return profiles_; }
  const ProfileStore& profiles() const { return profiles_; }

 private:
  void ScheduleActions();
  void ExecuteActions();
  void Perform(const StoreRequest& action);
  void Perform(const SendProfileMessage& action);
  void Perform(const ProfileApplied& action);
  void Perform(const EditDone& action);
  void Perform(const InForceReport& action);
  void Run(const StoreRange& request);
  void Run(const StoreCas& request);
  void Run(const StoreWatch& request);
  void Run(const StoreCancelWatch& request);
  // The profile store uses no leases.
  void Run(const StoreLeaseGrant&) {}
  void Run(const StoreLeaseKeepAlive&) {}
  void Run(const StoreLeaseRevoke&) {}

  io::EventLoop& loop_;
  StoreGateway& store_;
  ProfileStore profiles_;
  SendMessage send_message_;
  std::function<void(const ProfileApplied&)> on_applied_;
  bool actions_scheduled_ = false;
  absl::flat_hash_map<std::string, std::function<void(const EditDone&)>> edits_;
  absl::flat_hash_map<uint64_t, std::function<void(const InForceReport&)>>
      waits_;
};

}  // namespace oleander::node

#endif  // OLEANDER_NODE_PROFILE_DRIVER_H_
