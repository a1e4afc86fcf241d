// Other instances: their state in the membership, and their restarts.
#include <algorithm>
#include <utility>

#include "parts/requests_impl.h"

namespace oleander {
namespace {

// Per peer. A message doesn't stay in transit for more restarts than this.
constexpr size_t kMaxPreviousRuns = 8;

}  // namespace

void RequestTable::Impl::SetPeers(Time now, std::span<const PeerView> peers) {
  std::map<InstanceId, PeerView> next;
  for (const PeerView& peer : peers) {
    if (peer.info.id != options_.self.id) {
      next[peer.info.id] = peer;
    }
  }
  peers_ = std::move(next);
  for (const RequestId& id : AllIds()) {
    if (HeldRequest* request = Find(id)) {
      OnPeerChange(now, *request);
    }
  }
  relays_.SetPeers(now, peers_);
}

void RequestTable::Impl::OnPeerChange(Time now, HeldRequest& request) {
  if (request.role == RequestRole::kReplica) {
    const auto home = peers_.find(request.ownership.home);
    if (home == peers_.end() || !home->second.alive) {
      ++counts_.adopted_on_loss;
      Adopt(now, request);
    }
    return;
  }
  const bool lost =
      !request.replica.id.empty() && !IsUsable(request.replica.id);
  const bool waits_for_one = request.replica.id.empty() &&
                             request.spec->replica != ReplicaRule::kNone &&
                             !request.superseded_by.has_value();
  if (lost) {
    OnReplicaLost(now, request);
  } else if (waits_for_one) {
    StartReplica(now, request);
  }
  if (Find(request.id) == &request) {
    FinishUpdate(now, request);
  }
}

bool RequestTable::Impl::UpdatePeerRun(Time now, const InstanceId& from,
                                       uint64_t run_id) {
  PeerRun& known = peer_runs_[from];
  if (known.current == run_id) {
    return true;
  }
  if (std::ranges::find(known.previous, run_id) != known.previous.end()) {
    return false;
  }
  const uint64_t before = std::exchange(known.current, run_id);
  if (before != 0) {
    known.previous.push_back(before);
    if (known.previous.size() > kMaxPreviousRuns) {
      known.previous.pop_front();
    }
    OnPeerRestart(now, from);
  }
  return true;
}

void RequestTable::Impl::OnPeerRestart(Time now, const InstanceId& peer) {
  for (const RequestId& id : AllIds()) {
    HeldRequest* request = Find(id);
    if (request == nullptr) {
      continue;
    }
    if (request->role == RequestRole::kReplica) {
      if (request->ownership.home == peer) {
        ++counts_.adopted_on_loss;
        Adopt(now, *request);
      }
      continue;
    }
    if (request->replica.id == peer) {
      OnReplicaLost(now, *request);
      if (Find(id) == request) {
        FinishUpdate(now, *request);
      }
    }
  }
}

void RequestTable::Impl::SendBeacons(Time now) {
  std::set<InstanceId> sharing_peers;
  for (const auto& [id, request] : records_) {
    sharing_peers.insert(request->role == RequestRole::kHome
                             ? request->replica.id
                             : request->ownership.home);
  }
  sharing_peers.erase(InstanceId());
  for (const InstanceId& peer : sharing_peers) {
    SendMessage(peer, {}, {}, 0, Beacon{});
  }
  beacon_due_.reset();
  if (!records_.empty()) {
    beacon_due_ = now + options_.timing.beacon_interval;
  }
}

bool RequestTable::Impl::IsUsable(const InstanceId& id) const {
  const auto peer = peers_.find(id);
  return peer != peers_.end() && peer->second.alive && !peer->second.leaving;
}

void RequestTable::Impl::On(Time /*now*/, const InstanceId& from,
                            const RequestMessage& /*message*/,
                            const Beacon& /*beacon*/) {
  SendMessage(from, {}, {}, 0, BeaconReply{});
}

void RequestTable::Impl::On(Time /*now*/, const InstanceId& /*from*/,
                            const RequestMessage& /*message*/,
                            const BeaconReply& /*reply*/) {}

std::vector<RequestId> RequestTable::Impl::AllIds() const {
  std::vector<RequestId> ids;
  ids.reserve(records_.size());
  for (const auto& [id, request] : records_) {
    ids.push_back(id);
  }
  return ids;
}

}  // namespace oleander
