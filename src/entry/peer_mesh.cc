#include "entry/peer_mesh.h"

#include <utility>

namespace oleander::entry {
namespace {

constexpr Duration kHeartbeat = std::chrono::seconds(2);
constexpr Duration kSilenceBound = std::chrono::seconds(5);

}  // namespace

PeerMesh::PeerMesh(io::EventLoop& loop, const EntrySettings& settings)
    : self_(settings.instance),
      mesh_(loop,
            {.id = settings.instance,
             .address = settings.callers.address,
             .port = settings.mesh_port,
             .heartbeat_interval = kHeartbeat,
             .peer_timeout = kSilenceBound},
            [this](const InstanceId& from, const mesh::Envelope& message) {
              receiver_(from, message);
            }) {}

void PeerMesh::OnRecords(const RecordKeeper& records) {
  std::set<InstanceId> peers;
  for (const InstanceRecord& record : records.records()) {
    if (record.alive && record.instance != self_) {
      peers.insert(record.instance);
      mesh_.SetPeer(record.instance, record.address, record.mesh_port, "");
    }
  }
  for (const InstanceId& peer : peers_) {
    if (!peers.contains(peer)) {
      mesh_.RemovePeer(peer);
    }
  }
  peers_ = std::move(peers);
}

}  // namespace oleander::entry
