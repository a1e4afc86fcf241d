// The mesh between entry instances on a platform. Who is there follows from the
// records in the store; a connection is made with the first message, so that an
// instance keeps only those that it uses.
#ifndef OLEANDER_ENTRY_PEER_MESH_H_
#define OLEANDER_ENTRY_PEER_MESH_H_

#include <functional>
#include <set>

#include "entry/record_keeper.h"
#include "io/mesh.h"

namespace oleander::entry {

class PeerMesh {
 public:
  using Receiver = std::function<void(const InstanceId& from,
                                      const mesh::Envelope& message)>;
  PeerMesh(io::EventLoop& loop, const EntrySettings& settings);

  // Gets every message of a peer.
  void OnMessage(Receiver receiver) { receiver_ = std::move(receiver); }
  // What can't be sent is asked again or of another peer.
  void Send(const InstanceId& peer, const mesh::Envelope& message) {
    mesh_.Send(peer, message).IgnoreError();
  }

  absl::Status Listen() { return mesh_.Listen(); }
  // The peers are those that have a live record.
  void OnRecords(const RecordKeeper& records);

 private:
  InstanceId self_;
  std::set<InstanceId> peers_;
  Receiver receiver_;
  io::Mesh mesh_;
};

}  // namespace oleander::entry

#endif  // OLEANDER_ENTRY_PEER_MESH_H_
