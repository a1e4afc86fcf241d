// Messages between entry instances: ZeroMQ ROUTER and DEALER sockets, CURVE
// keys, protobuf.
//
// Delivery is best effort: a message may be lost, doubled after a reconnect, or
// late. The parts above expect that.
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

// CURVE keys in Z85, 40 characters each. Without keys the mesh is in the clear.
// With keys, a peer connects only with an allowed key or with one that
// SetPeer() names.
struct MeshKeys {
  std::string public_key;
  std::string secret_key;
  std::vector<std::string> allowed_public_keys;
};

// Makes a new key pair (without allowed keys).
MeshKeys NewMeshKeys();

struct MeshOptions {
  InstanceId id;
  std::string address;
  uint16_t port = 0;  // 0 takes a free port.
  MeshKeys keys = {};
  size_t queue_messages =
      4096;  // Per peer; the oldest control message goes first.
  Duration heartbeat_interval = std::chrono::seconds(1);
  Duration peer_timeout = std::chrono::seconds(3);
  Duration idle_timeout =
      std::chrono::seconds(30);  // Unused connections are closed.
};

// What the mesh has moved, by class of message; the classes are the names of
// the envelope's fields.
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

  // kSettingsInvalid where the address or a key can't be used.
  absl::Status Listen();
  uint16_t port() const;  // The port listened on.
  // Tells where a peer is and which key it has; the connection is made on the
  // first send.
  void SetPeer(const InstanceId& peer, const std::string& address,
               uint16_t port, const std::string& public_key);
  void RemovePeer(const InstanceId& peer);
  // Fills in version and sender and queues the message. Never blocks.
  // kMeshPeerUnknown without an address or key, kMeshQueueFull where the
  // message was dropped at once.
  absl::Status Send(const InstanceId& peer, mesh::Envelope message);

  std::vector<MeshTraffic> traffic() const;
  uint64_t dropped() const;  // Messages dropped from queues.
  uint64_t refused_frames()
      const;  // Frames that did not parse, or of another version.
  uint64_t refused_peers() const;   // Connections refused for their key.
  size_t open_connections() const;  // To peers, by our sending.

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace oleander::io

#endif  // OLEANDER_IO_MESH_H_
