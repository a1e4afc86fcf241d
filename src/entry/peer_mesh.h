// The mesh between the entry instances of a platform. The peers are the
// instances with a live record in the store. A connection opens with the first
// message to a peer, so that an instance holds only connections that it uses.
#ifndef OLEANDER_ENTRY_PEER_MESH_H_
#define OLEANDER_ENTRY_PEER_MESH_H_

#include <functional>
#include <set>

#include "entry/record_keeper.h"
#include "io/mesh.h"

namespace oleander::entry {

// Sends messages to peers and passes received ones to one receiver.
class PeerMesh {
 public:
  using Receiver = std::function<void(const InstanceId& from,
                                      const mesh::Envelope& message)>;
  PeerMesh(io::EventLoop& loop, const EntrySettings& settings);

  // Sets the receiver of all messages from peers.
  void OnMessage(Receiver receiver) { receiver_ = std::move(receiver); }
  // Sends a message, or drops it on failure: the senders repeat a request or
  // send it to another peer.
  void Send(const InstanceId& peer, const mesh::Envelope& message) {
    mesh_.Send(peer, message).IgnoreError();
  }

  // Returns whether messages to the peer can be sent.
  bool Knows(const InstanceId& peer) const { return peers_.contains(peer); }

  // Opens the listening socket; returns an error if that fails.
  absl::Status Listen() { return mesh_.Listen(); }
  // Updates the peers to the instances with a live record.
  void OnRecords(const RecordKeeper& records);

 private:
  InstanceId self_;
  std::set<InstanceId> peers_;
  Receiver receiver_;
  io::Mesh mesh_;
};

}  // namespace oleander::entry

#endif  // OLEANDER_ENTRY_PEER_MESH_H_
