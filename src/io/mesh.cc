#include "io/mesh.h"

#include <fmt/format.h>
#include <zmq.h>

#include <algorithm>
#include <array>
#include <optional>
#include <utility>
#include <zmq.hpp>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "io/log.h"
#include "io/mesh_codec.h"
#include "io/mesh_queue.h"
#include "io/zap_handler.h"
#include "oleander/result_code.h"

namespace oleander::io {
namespace {

constexpr size_t kMaxQueueBytes = size_t{32} << 20;
constexpr int64_t kMaxMessageBytes = int64_t{16} << 20;
// Messages that ZeroMQ itself may queue for one peer. Further messages stay in
// the MeshQueue, which can drop them by class.
constexpr int kSocketQueueMessages = 64;
// The maximum number of messages received in one round of the loop, so that
// callers' connections are served in between.
constexpr int kMessagesPerRound = 256;
constexpr Duration kRefusalLogInterval = std::chrono::seconds(1);
constexpr Duration kConnectTimeout = std::chrono::seconds(2);
constexpr Duration kReconnectInterval = std::chrono::milliseconds(100);
constexpr Duration kMaxReconnectInterval = std::chrono::seconds(5);

int Milliseconds(Duration duration) {
  return static_cast<int>(
      std::chrono::ceil<std::chrono::milliseconds>(duration).count());
}

bool IsIpv6(const std::string& address) {
  return address.find(':') != std::string::npos;
}

std::string Endpoint(const std::string& address, const std::string& port) {
  return IsIpv6(address) ? fmt::format("tcp://[{}]:{}", address, port)
                         : fmt::format("tcp://{}:{}", address, port);
}

// A peer's address and key, the queue of messages to it, and its connection
// while one is in use.
struct Peer {
  std::string address;
  uint16_t port = 0;
  std::string public_key;
  MeshQueue queue;
  std::optional<zmq::socket_t> socket;
  std::unique_ptr<EventLoop::FdWatch> watch;  // Destroyed before the socket.
  Time last_used;

  void Disconnect() {
    watch.reset();
    socket.reset();
  }
};

}  // namespace

MeshKeys NewMeshKeys() {
  constexpr size_t kKeyText = 41;
  std::array<char, kKeyText> public_key = {};
  std::array<char, kKeyText> secret_key = {};
  zmq_curve_keypair(public_key.data(), secret_key.data());
  return {.public_key = public_key.data(),
          .secret_key = secret_key.data(),
          .allowed_public_keys = {}};
}

struct Mesh::Impl {
  Impl(EventLoop& event_loop, MeshOptions mesh_options, Receiver on_message)
      : loop(event_loop),
        options(std::move(mesh_options)),
        receiver(std::move(on_message)),
        allowed(options.keys.allowed_public_keys.begin(),
                options.keys.allowed_public_keys.end()) {
    if (has_keys()) {
      zap.emplace(loop, context, [this](const std::string& key) {
        return allowed.contains(key);
      });
    }
    std::ranges::transform(
        kMeshClasses, traffic.begin(), [](std::string_view name) {
          return MeshTraffic{.message_class = std::string(name)};
        });
  }

  bool has_keys() const { return !options.keys.secret_key.empty(); }

  void SetCommon(zmq::socket_t& socket, const std::string& address) const {
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::ipv6, IsIpv6(address) ? 1 : 0);
    socket.set(zmq::sockopt::heartbeat_ivl,
               Milliseconds(options.heartbeat_interval));
    socket.set(zmq::sockopt::heartbeat_timeout,
               Milliseconds(options.peer_timeout));
    socket.set(zmq::sockopt::heartbeat_ttl, Milliseconds(options.peer_timeout));
    socket.set(zmq::sockopt::maxmsgsize, kMaxMessageBytes);
  }

  absl::Status Listen() {
    try {
      zmq::socket_t socket(context, zmq::socket_type::router);
      SetCommon(socket, options.address);
      if (has_keys()) {
        socket.set(zmq::sockopt::zap_domain, kZapDomain);
        socket.set(zmq::sockopt::curve_server, 1);
        socket.set(zmq::sockopt::curve_secretkey, options.keys.secret_key);
      }
      const std::string wanted =
          options.port == 0 ? "*" : std::to_string(options.port);
      socket.bind(Endpoint(options.address, wanted));
      const std::string bound = socket.get(zmq::sockopt::last_endpoint);
      port = static_cast<uint16_t>(
          std::stoi(bound.substr(bound.find_last_of(':') + 1)));
      router = std::move(socket);
    } catch (const zmq::error_t& error) {
      return MakeError(
          ResultCode::kSettingsInvalid,
          fmt::format("The mesh can't listen on address {} port {}: {}.",
                      options.address, options.port, error.what()));
    }
    router_watch = loop.WatchReadable(router->get(zmq::sockopt::fd),
                                      [this] { Receive(); });
    idle_check = loop.Every(std::max(options.idle_timeout / 4,
                                     Duration(std::chrono::milliseconds(1))),
                            [this] { CloseIdle(); });
    return absl::OkStatus();
  }

  // ZeroMQ's descriptor is edge-triggered, so all messages must be received.
  // Messages beyond the limit of a round are received in the next one.
  void Receive() {
    int left = kMessagesPerRound;
    while ((router->get(zmq::sockopt::events) & ZMQ_POLLIN) != 0) {
      if (left-- == 0) {
        resume_receiving = loop.After(Duration::zero(), [this] { Receive(); });
        return;
      }
      ReceiveOne();
    }
  }

  void ReceiveOne() {
    zmq::message_t routing_id;
    zmq::message_t payload;
    if (!router->recv(routing_id, zmq::recv_flags::dontwait)) {
      return;
    }
    const bool has_payload =
        routing_id.more() &&
        router->recv(payload, zmq::recv_flags::dontwait).has_value();
    if (!has_payload || payload.more()) {
      DiscardFrames(payload.more());
      RejectMessage(
          MakeError(ResultCode::kMeshBadFrame,
                    "A mesh message has more or fewer than two frames."));
      return;
    }
    Deliver(payload);
  }

  void DiscardFrames(bool more) {
    while (more) {
      zmq::message_t skipped;
      if (!router->recv(skipped, zmq::recv_flags::dontwait)) {
        return;
      }
      more = skipped.more();
    }
  }

  void Deliver(const zmq::message_t& payload) {
    auto message = DecodeEnvelope(payload.to_string_view());
    if (!message.ok()) {
      RejectMessage(message.status());
      return;
    }
    const InstanceId from(message->from());
    if (!SenderHasKey(from, payload)) {
      RejectMessage(MakeError(
          ResultCode::kMeshBadFrame,
          fmt::format("A mesh message names {} as its sender but was sent with "
                      "another instance's key.",
                      from.value())));
      return;
    }
    MeshTraffic& counts = traffic[MeshClassOf(*message)];
    ++counts.messages_received;
    counts.bytes_received += payload.size();
    receiver(from, *message);
  }

  // Returns whether the message was sent with the key of `from`, so that an
  // allowed peer can't claim to be another one. Always true without keys and
  // for senders whose key is unknown.
  bool SenderHasKey(const InstanceId& from,
                    const zmq::message_t& payload) const {
    if (!has_keys()) {
      return true;
    }
    const auto known = peers.find(from);
    if (known == peers.end() || known->second->public_key.empty()) {
      return true;
    }
    const char* key =
        zmq_msg_gets(const_cast<zmq_msg_t*>(payload.handle()), "User-Id");
    return key != nullptr && known->second->public_key == key;
  }

  // Logs at most one line a second, so that a hostile sender can't fill the
  // log.
  void RejectMessage(const absl::Status& reason) {
    ++refused;
    if (loop.now() < next_refusal_log) {
      return;
    }
    next_refusal_log = loop.now() + kRefusalLogInterval;
    Log(LogLevel::kWarning, "mesh.refused",
        {{"code", static_cast<int>(CodeOf(reason))},
         {"reason", std::string(reason.message())},
         {"refused", refused}});
  }

  absl::Status Connect(const InstanceId& id, Peer& peer) {
    if (has_keys() && peer.public_key.empty()) {
      return MakeError(
          ResultCode::kMeshPeerUnknown,
          fmt::format(
              "The public key of {} is unknown, and the mesh uses keys.",
              id.value()));
    }
    try {
      zmq::socket_t socket(context, zmq::socket_type::dealer);
      SetCommon(socket, peer.address);
      socket.set(zmq::sockopt::sndhwm, kSocketQueueMessages);
      // Messages are passed only to an established connection.
      socket.set(zmq::sockopt::immediate, 1);
      socket.set(zmq::sockopt::connect_timeout, Milliseconds(kConnectTimeout));
      socket.set(zmq::sockopt::reconnect_ivl, Milliseconds(kReconnectInterval));
      socket.set(zmq::sockopt::reconnect_ivl_max,
                 Milliseconds(kMaxReconnectInterval));
      if (has_keys()) {
        socket.set(zmq::sockopt::curve_serverkey, peer.public_key);
        socket.set(zmq::sockopt::curve_publickey, options.keys.public_key);
        socket.set(zmq::sockopt::curve_secretkey, options.keys.secret_key);
      }
      socket.connect(Endpoint(peer.address, std::to_string(peer.port)));
      peer.socket = std::move(socket);
    } catch (const zmq::error_t& error) {
      return MakeError(
          ResultCode::kMeshPeerUnknown,
          fmt::format("Cannot connect to {} at {} port {}: {}.", id.value(),
                      peer.address, peer.port, error.what()));
    }
    peer.watch = loop.WatchReadable(peer.socket->get(zmq::sockopt::fd),
                                    [this, raw = &peer] { FlushQueue(*raw); });
    return absl::OkStatus();
  }

  // Sends queued messages while the socket accepts them. It is called after
  // each event and each send, since the descriptor is edge-triggered.
  void FlushQueue(Peer& peer) {
    while (peer.socket.has_value()) {
      const int events = peer.socket->get(zmq::sockopt::events);
      if ((events & ZMQ_POLLIN) != 0) {
        // Instances never reply over this socket, so such a message does not
        // come from the mesh.
        zmq::message_t unexpected;
        if (peer.socket->recv(unexpected, zmq::recv_flags::dontwait)) {
          ++refused;
        }
        continue;
      }
      if ((events & ZMQ_POLLOUT) == 0 || peer.queue.empty() ||
          !SendFront(peer)) {
        return;
      }
    }
  }

  bool SendFront(Peer& peer) {
    const QueuedMessage& message = peer.queue.front();
    const auto sent = peer.socket->send(zmq::buffer(message.bytes),
                                        zmq::send_flags::dontwait);
    if (!sent.has_value()) {
      return false;
    }
    MeshTraffic& counts = traffic[message.message_class];
    ++counts.messages_sent;
    counts.bytes_sent += message.bytes.size();
    peer.queue.Pop();
    return true;
  }

  absl::Status Send(const InstanceId& id, mesh::Envelope message) {
    const auto found = peers.find(id);
    if (found == peers.end()) {
      return MakeError(
          ResultCode::kMeshPeerUnknown,
          fmt::format("The address of instance {} is unknown.", id.value()));
    }
    Peer& peer = *found->second;
    if (!peer.socket.has_value()) {
      absl::Status connected = Connect(id, peer);
      if (!connected.ok()) {
        return connected;
      }
    }
    peer.last_used = loop.now();
    message.set_version(kMeshVersion);
    message.set_from(options.id.value());
    const bool queued = peer.queue.Push({.bytes = EncodeEnvelope(message),
                                         .message_class = MeshClassOf(message),
                                         .carries_work = CarriesWork(message)});
    FlushQueue(peer);
    if (!queued) {
      return MakeError(
          ResultCode::kMeshQueueFull,
          fmt::format("The queue to instance {} is full.", id.value()));
    }
    return absl::OkStatus();
  }

  void SetPeer(const InstanceId& id, const std::string& address,
               uint16_t peer_port, const std::string& public_key) {
    if (!public_key.empty()) {
      allowed.insert(public_key);
    }
    auto& peer = peers[id];
    const bool same = peer != nullptr && peer->address == address &&
                      peer->port == peer_port && peer->public_key == public_key;
    if (same) {
      return;
    }
    RevokeKeyOf(peer.get(), public_key);
    if (peer != nullptr) {
      dropped += peer->queue.dropped() + peer->queue.messages();
    }
    peer = std::make_unique<Peer>(
        Peer{.address = address,
             .port = peer_port,
             .public_key = public_key,
             .queue = MeshQueue(options.queue_messages, kMaxQueueBytes),
             .socket = std::nullopt,
             .watch = nullptr,
             .last_used = loop.now()});
  }

  // Revokes the peer's old key, unless the options allow it.
  void RevokeKeyOf(const Peer* peer, const std::string& new_key) {
    if (peer == nullptr || peer->public_key == new_key) {
      return;
    }
    const auto& fixed = options.keys.allowed_public_keys;
    if (std::ranges::find(fixed, peer->public_key) == fixed.end()) {
      allowed.erase(peer->public_key);
    }
  }

  void RemovePeer(const InstanceId& id) {
    const auto found = peers.find(id);
    if (found == peers.end()) {
      return;
    }
    RevokeKeyOf(found->second.get(), "");
    dropped += found->second->queue.dropped() + found->second->queue.messages();
    peers.erase(found);
  }

  void CloseIdle() {
    const Time unused_since = loop.now() - options.idle_timeout;
    for (auto& [id, peer] : peers) {
      if (peer->socket.has_value() && peer->queue.empty() &&
          peer->last_used <= unused_since) {
        peer->Disconnect();
      }
    }
  }

  EventLoop& loop;
  MeshOptions options;
  Receiver receiver;
  zmq::context_t context;
  absl::flat_hash_set<std::string> allowed;
  std::optional<ZapHandler> zap;
  std::optional<zmq::socket_t> router;
  // Destroyed before the router.
  std::unique_ptr<EventLoop::FdWatch> router_watch;
  Timer resume_receiving;
  Timer idle_check;
  uint16_t port = 0;
  absl::flat_hash_map<InstanceId, std::unique_ptr<Peer>> peers;
  std::array<MeshTraffic, kMeshClasses.size()> traffic;
  uint64_t dropped = 0;  // Messages dropped for peers that were removed.
  uint64_t refused = 0;
  Time next_refusal_log;
};

Mesh::Mesh(EventLoop& loop, MeshOptions options, Receiver receiver)
    : impl_(std::make_unique<Impl>(loop, std::move(options),
                                   std::move(receiver))) {}

Mesh::~Mesh() = default;

absl::Status Mesh::Listen() { return impl_->Listen(); }

void Mesh::SetPeer(const InstanceId& peer, const std::string& address,
                   uint16_t port, const std::string& public_key) {
  impl_->SetPeer(peer, address, port, public_key);
}

void Mesh::RemovePeer(const InstanceId& peer) { impl_->RemovePeer(peer); }

absl::Status Mesh::Send(const InstanceId& peer, mesh::Envelope message) {
  return impl_->Send(peer, std::move(message));
}

uint16_t Mesh::port() const { return impl_->port; }

std::vector<MeshTraffic> Mesh::traffic() const {
  return {impl_->traffic.begin(), impl_->traffic.end()};
}

uint64_t Mesh::dropped() const {
  uint64_t sum = impl_->dropped;
  for (const auto& [id, peer] : impl_->peers) {
    sum += peer->queue.dropped();
  }
  return sum;
}

uint64_t Mesh::refused_frames() const { return impl_->refused; }

uint64_t Mesh::refused_peers() const {
  return impl_->zap.has_value() ? impl_->zap->refused() : 0;
}

size_t Mesh::open_connections() const {
  return static_cast<size_t>(std::ranges::count_if(
      impl_->peers,
      [](const auto& entry) { return entry.second->socket.has_value(); }));
}

}  // namespace oleander::io
