// Encodes and sends messages over the mesh, and decodes received messages and
// passes them to their receivers.
#ifndef OLEANDER_NODE_MESH_PORT_H_
#define OLEANDER_NODE_MESH_PORT_H_

#include <functional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/status/statusor.h"
#include "io/event_loop.h"
#include "io/membership_codec.h"
#include "io/mesh.h"
#include "node/fleet.h"
#include "node/metrics.h"
#include "node/settings.h"
#include "oleander/ledger.h"
#include "oleander/load_spread.h"
#include "oleander/membership.h"
#include "oleander/profiles.h"
#include "oleander/request_messages.h"
#include "oleander/routing.h"

namespace oleander::node {

// Reads the CURVE keys from a key file. Returns no keys if the file name is
// empty, and an error if the file is unreadable or a field is invalid.
absl::StatusOr<io::MeshKeys> ReadMeshKeys(const std::string& file);

class MeshPort {
 public:
  // The receiver of each kind of message. A message that can't be decoded is
  // counted and dropped.
  struct Receivers {
    std::function<void(const InstanceId&, const RequestMessage&)> request;
    std::function<void(const InstanceId&, const LedgerMessage&)> ledger;
    std::function<void(const InstanceId&, const ProfileMessage&)> profile;
    std::function<void(const InstanceId&, const io::MembershipFrame&)>
        membership;
    std::function<void(const InstanceId&, const LoadUpdate&)> load;
    std::function<void(const InstanceId&, const WriteMark&)> write;
  };

  MeshPort(io::EventLoop& loop, const Settings& settings, io::MeshKeys keys,
           Metrics& metrics, Receivers receivers);

  absl::Status Listen() { return mesh_.Listen(); }
  // Sets the addresses of the entry instances. Removes peers that are not in
  // the list.
  void SetPeers(const std::vector<EntryPeer>& peers);
  // Closes the connection to one peer. The next message opens a new one.
  void Reset(const InstanceId& peer);

  void Send(const InstanceId& to, const RequestMessage& message);
  void Send(const InstanceId& to, const LedgerMessage& message);
  void Send(const InstanceId& to, const ProfileMessage& message);
  void Send(const InstanceId& to, const io::MembershipFrame& frame);
  void Send(const InstanceId& to, const LoadUpdate& update);
  void Send(const InstanceId& to, const WriteMark& mark);

  const io::Mesh& mesh() const { return mesh_; }

 private:
  void Receive(const InstanceId& from, const mesh::Envelope& envelope);
  void ReceiveLoad(const InstanceId& from, const mesh::LoadMessage& message);
  template <typename Message, typename Receiver>
  void Deliver(const InstanceId& from, const absl::StatusOr<Message>& message,
               const Receiver& receiver);
  void SendEnvelope(const InstanceId& to, mesh::Envelope envelope);

  Metrics& metrics_;
  Receivers receivers_;
  io::Mesh mesh_;
  absl::flat_hash_map<InstanceId, EntryPeer> peers_;
};

}  // namespace oleander::node

#endif  // OLEANDER_NODE_MESH_PORT_H_
