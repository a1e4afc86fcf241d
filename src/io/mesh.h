// Messages between entry instances: ZeroMQ ROUTER and DEALER sockets, CURVE
// keys, protobuf.
//
// Delivery is best effort: a message may be lost, late, or duplicated after a
// reconnect. The callers must handle this.
#ifndef OLEANDER_IO_MESH_H_
#define OLEANDER_IO_MESH_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "io/event_loop.h"
#include "mesh.pb.h"
#include "oleander/types.h"

namespace oleander::io {

inline constexpr uint32_t kMeshVersion = 1;

// CURVE keys in Z85, 40 characters each. Without keys the mesh is not
// encrypted. With keys, a peer can connect only with an allowed key or with a
// key that was passed to SetPeer().
struct MeshKeys {
  std::string public_key;
  std::string secret_key;
  std::vector<std::string> allowed_public_keys;
};

// Generates a key pair, without allowed keys.
MeshKeys NewMeshKeys();

struct MeshOptions {
  InstanceId id;
  std::string address;
  uint16_t port = 0;  // 0 selects a free port.
  MeshKeys keys = {};
  size_t queue_messages =
      4096;  // Per peer; the oldest control message is dropped first.
  Duration heartbeat_interval = std::chrono::seconds(1);
  Duration peer_timeout = std::chrono::seconds(3);
  Duration idle_timeout =
      std::chrono::seconds(30);  // Unused connections are closed.
};

// Traffic counters of one message class. The classes are the names of the
// envelope's fields.
struct MeshTraffic {
  std::string message_class;
  uint64_t messages_sent = 0;
  uint64_t bytes_sent = 0;
  uint64_t messages_received = 0;
  uint64_t bytes_received = 0;
};

class Mesh {
 public:
  using Receiver = std::function<void(const InstanceId& from,
                                      const mesh::Envelope& message)>;

  Mesh(EventLoop& loop, MeshOptions options, Receiver receiver);
  ~Mesh();

  // Starts listening. Returns kSettingsInvalid if the address or a key can't be
  // used.
  absl::Status Listen();
  uint16_t port() const;  // The port that the mesh listens on.
  // Sets the address and public key of a peer. The connection is made on the
  // first send.
  void SetPeer(const InstanceId& peer, const std::string& address,
               uint16_t port, const std::string& public_key);
  void RemovePeer(const InstanceId& peer);
  // Fills in version and sender and queues the message. Never blocks. Returns
  // kMeshPeerUnknown if the peer's address or key is unknown or unusable, and
  // kMeshQueueFull if the message was dropped at once.
  absl::Status Send(const InstanceId& peer, mesh::Envelope message);

  std::vector<MeshTraffic> traffic() const;
  uint64_t dropped() const;  // Messages dropped from queues.
  uint64_t refused_frames()
      const;  // Messages rejected as malformed, of another version, or with a
              // sender that does not match the key.
  uint64_t refused_peers() const;   // Connections refused because of their key.
  size_t open_connections() const;  // Connections opened to peers.

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace oleander::io

#endif  // OLEANDER_IO_MESH_H_
