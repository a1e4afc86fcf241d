#include "node/membership_driver.h"

#include <utility>
#include <variant>

#include "io/log.h"

namespace oleander::node {

MembershipDriver::MembershipDriver(io::EventLoop& loop,
                                   const InstanceInfo& self,
                                   const MembershipOptions& options,
                                   uint64_t seed, Callbacks callbacks)
    : loop_(loop),
      membership_(self, options, seed, loop.now()),
      callbacks_(std::move(callbacks)) {}

void MembershipDriver::SetCandidates(
    const std::vector<InstanceInfo>& candidates) {
  membership_.SetCandidates(candidates, loop_.now());
  ExecuteActions();
}

void MembershipDriver::OnMessage(const InstanceId& from,
                                 const MembershipMessage& message) {
  membership_.OnMessage(from, message, loop_.now());
  ExecuteActions();
}

void MembershipDriver::Leave() {
  membership_.Leave(loop_.now());
  ExecuteActions();
}

void MembershipDriver::Depart() {
  membership_.Depart(loop_.now());
  ExecuteActions();
}

void MembershipDriver::Tick() {
  if (membership_.next_due() <= loop_.now()) {
    membership_.Tick(loop_.now());
    ExecuteActions();
  }
}

std::vector<PeerView> MembershipDriver::PeersIn(const RegionId& region) const {
  std::vector<PeerView> peers;
  for (const Member& member : membership_.members()) {
    if (member.info.location.region == region) {
      peers.push_back({.info = member.info,
                       .alive = member.state == MemberState::kAlive ||
                                member.state == MemberState::kLeaving,
                       .leaving = member.state == MemberState::kLeaving});
    }
  }
  return peers;
}

std::vector<InstanceInfo> MembershipDriver::Live() const {
  std::vector<InstanceInfo> live = {membership_.self()};
  for (const Member& member : membership_.members()) {
    if (member.reachable()) {
      live.push_back(member.info);
    }
  }
  return live;
}

void MembershipDriver::ExecuteActions() {
  for (const MembershipAction& action : membership_.TakeActions()) {
    std::visit([this](const auto& typed) { Perform(typed); }, action);
  }
}

void MembershipDriver::Perform(const SendMembershipMessage& action) {
  callbacks_.send(action.to, action.message);
}

void MembershipDriver::Perform(const MemberChanged& action) {
  io::Log(io::LogLevel::kInfo, "member.changed",
          {{"peer", action.info.id.value()},
           {"domain", action.info.location.domain.value()},
           {"state", MemberStateName(action.state)}});
  callbacks_.on_change();
}

void MembershipDriver::Perform(const NeighboursChanged&) {
  callbacks_.on_change();
}

void MembershipDriver::Perform(const ResetConnection& action) {
  io::Log(io::LogLevel::kWarning, "mesh.connection_reset",
          {{"peer", action.peer.value()}});
  callbacks_.reset_connection(action.peer);
}

}  // namespace oleander::node
