#include "node/profile_driver.h"

#include <utility>
#include <variant>

#include "io/log.h"

namespace oleander::node {
namespace {

// Identifies the watch of the profile store at the gateway.
constexpr const char* kWatchOwner = "profiles";

}  // namespace

ProfileDriver::ProfileDriver(
    io::EventLoop& loop, StoreGateway& store, const InstanceInfo& self,
    const ProfileOptions& options, uint64_t seed, SendMessage send_message,
    std::function<void(const ProfileApplied&)> on_applied)
    : loop_(loop),
      store_(store),
      profiles_(self, options, seed, loop.now()),
      send_message_(std::move(send_message)),
      on_applied_(std::move(on_applied)) {}

void ProfileDriver::OnMembers(const std::vector<InstanceInfo>& live,
                              const std::vector<InstanceId>& neighbours) {
  profiles_.OnMembers(live, neighbours, loop_.now());
  ScheduleActions();
}

void ProfileDriver::OnDigest(const InstanceId& from,
                             const ProfileDigest& digest) {
  profiles_.OnDigest(from, digest, loop_.now());
  ScheduleActions();
}

void ProfileDriver::OnMessage(const InstanceId& from,
                              const ProfileMessage& message) {
  profiles_.OnMessage(from, message, loop_.now());
  ScheduleActions();
}

void ProfileDriver::Edit(const ProfileEdit& edit,
                         std::function<void(const EditDone&)> done) {
  edits_[edit.edit_id] = std::move(done);
  profiles_.Edit(edit, loop_.now());
  ScheduleActions();
}

void ProfileDriver::WaitInForce(
    const ProfileName& name, int64_t revision, Duration bound,
    std::function<void(const InForceReport&)> done) {
  const Time now = loop_.now();
  const uint64_t wait = profiles_.WaitInForce(name, revision, now + bound, now);
  waits_[wait] = std::move(done);
  ScheduleActions();
}

void ProfileDriver::Tick() {
  if (profiles_.next_due() <= loop_.now()) {
    profiles_.Tick(loop_.now());
    ScheduleActions();
  }
}

void ProfileDriver::ScheduleActions() {
  if (!std::exchange(actions_scheduled_, true)) {
    loop_.Post([this] { ExecuteActions(); });
  }
}

void ProfileDriver::ExecuteActions() {
  actions_scheduled_ = false;
  for (const ProfileAction& action : profiles_.TakeActions()) {
    std::visit([this](const auto& typed) { Perform(typed); }, action);
  }
}

void ProfileDriver::Perform(const StoreRequest& action) {
  std::visit([this](const auto& typed) { Run(typed); }, action);
}

void ProfileDriver::Perform(const SendProfileMessage& action) {
  send_message_(action.to, action.message);
}

void ProfileDriver::Perform(const ProfileApplied& action) {
  io::Log(io::LogLevel::kInfo, "profile.applied",
          {{"profile", action.name.value()},
           {"revision", action.revision},
           {"edit", action.edit_id}});
  on_applied_(action);
}

void ProfileDriver::Perform(const EditDone& action) {
  const auto found = edits_.find(action.edit_id);
  if (found == edits_.end()) {
    return;
  }
  const auto done = std::move(found->second);
  edits_.erase(found);
  done(action);
}

void ProfileDriver::Perform(const InForceReport& action) {
  const auto found = waits_.find(action.wait);
  if (found == waits_.end() || !action.done) {
    return;
  }
  const auto done = std::move(found->second);
  waits_.erase(found);
  done(action);
}

void ProfileDriver::Run(const StoreRange& request) {
  store_.Range(StoreClass::kProfile, request,
               [this, call = request.call](
                   const absl::StatusOr<StoreRangeAnswer>& answer) {
                 profiles_.OnRange(call, answer, loop_.now());
                 ScheduleActions();
               });
}

void ProfileDriver::Run(const StoreCas& request) {
  store_.Cas(StoreClass::kProfile, request,
             [this, call = request.call](
                 const absl::StatusOr<StoreCasAnswer>& answer) {
               profiles_.OnCas(call, answer, loop_.now());
               ScheduleActions();
             });
}

void ProfileDriver::Run(const StoreWatch& request) {
  store_.Watch(kWatchOwner, StoreClass::kProfile, request,
               [this, call = request.call](
                   const absl::StatusOr<StoreWatchEvents>& events) {
                 profiles_.OnWatch(call, events, loop_.now());
                 ScheduleActions();
               });
}

void ProfileDriver::Run(const StoreCancelWatch&) {
  store_.CancelWatch(kWatchOwner);
}

}  // namespace oleander::node
