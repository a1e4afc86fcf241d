// Tests of messages between entry instances over the mesh.
#include "io/mesh.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>
#include <vector>

#include "io/mesh_codec.h"
#include "io/mesh_queue.h"
#include "oleander/result_code.h"
#include "support/io_fixture.h"

namespace oleander::io {
namespace {

using std::chrono::milliseconds;

mesh::Envelope Control() {
  mesh::Envelope message;
  message.mutable_load();
  return message;
}

mesh::Envelope Work() {
  mesh::Envelope message;
  message.mutable_request();
  return message;
}

// One instance of the mesh and the messages that it has received.
struct Node {
  Node(EventLoop& loop, std::string name, MeshKeys keys = {},
       Duration idle_timeout = std::chrono::seconds(30))
      : id(std::move(name)),
        public_key(keys.public_key),
        mesh(loop,
             {.id = id,
              .address = kTestAddress,
              .keys = std::move(keys),
              .queue_messages = 8,
              // Long, so that a busy machine isn't taken for a silent peer.
              .heartbeat_interval = std::chrono::seconds(20),
              .peer_timeout = std::chrono::seconds(60),
              .idle_timeout = idle_timeout},
             [this](const InstanceId& from, const mesh::Envelope& message) {
               senders.push_back(from);
               messages.push_back(message);
             }) {
    const absl::Status listening = mesh.Listen();
    BOOST_REQUIRE_MESSAGE(listening.ok(), listening.message());
  }

  void AddPeer(const Node& other) {
    mesh.SetPeer(other.id, kTestAddress, other.mesh.port(), other.public_key);
  }

  MeshTraffic Traffic(std::string_view message_class) const {
    const auto all = mesh.traffic();
    return *std::ranges::find(all, message_class, &MeshTraffic::message_class);
  }

  InstanceId id;
  std::string public_key;
  std::vector<InstanceId> senders;
  std::vector<mesh::Envelope> messages;
  Mesh mesh;
};

BOOST_AUTO_TEST_SUITE(mesh_between_instances)

BOOST_AUTO_TEST_SUITE(a_message)

BOOST_AUTO_TEST_CASE(arrives_with_its_sender_and_is_counted_by_class) {
  EventLoop loop;
  Node a(loop, "a");
  Node b(loop, "b");
  a.AddPeer(b);
  b.AddPeer(a);
  BOOST_TEST(a.mesh.Send(b.id, Work()).ok());
  BOOST_TEST(b.mesh.Send(a.id, Control()).ok());
  BOOST_TEST(RunUntil(
      loop, [&] { return a.messages.size() == 1 && b.messages.size() == 1; }));
  BOOST_TEST(b.senders[0] == a.id);
  BOOST_TEST(b.messages[0].has_request());
  BOOST_TEST(a.Traffic("request").messages_sent == 1U);
  BOOST_TEST(a.Traffic("request").bytes_sent ==
             b.Traffic("request").bytes_received);
  BOOST_TEST(a.Traffic("load").messages_received == 1U);
}

BOOST_AUTO_TEST_CASE(follows_the_earlier_ones_in_order) {
  EventLoop loop;
  Node a(loop, "a");
  Node b(loop, "b");
  a.AddPeer(b);
  constexpr size_t kMessages = 400;
  size_t sent = 0;
  // The queue holds eight; the next ones are sent when those have arrived.
  const Timer sending = loop.Every(milliseconds(1), [&] {
    for (int i = 0; i < 8 && b.messages.size() == sent - sent % 8; ++i) {
      BOOST_REQUIRE(a.mesh.Send(b.id, sent % 2 == 0 ? Work() : Control()).ok());
      ++sent;
    }
  });
  BOOST_REQUIRE(RunUntil(loop, [&] { return b.messages.size() == kMessages; }));
  BOOST_TEST(a.mesh.dropped() == 0U);
  for (size_t i = 0; i < b.messages.size(); ++i) {
    BOOST_REQUIRE(b.messages[i].has_request() == (i % 2 == 0));
  }
}

BOOST_AUTO_TEST_CASE(to_an_unknown_instance_is_refused) {
  EventLoop loop;
  Node a(loop, "a");
  BOOST_TEST((CodeOf(a.mesh.Send(InstanceId("c"), Control())) ==
              ResultCode::kMeshPeerUnknown));
}

BOOST_AUTO_TEST_CASE(waits_until_the_peer_is_reachable) {
  EventLoop loop;
  Node a(loop, "a");
  uint16_t port = 0;
  {
    const auto bound = ListenTcp(kTestAddress, 0);
    BOOST_REQUIRE(bound.ok());
    port = bound->port;
    close(bound->fd);
  }
  a.mesh.SetPeer(InstanceId("b"), kTestAddress, port, "");
  BOOST_TEST(a.mesh.Send(InstanceId("b"), Work()).ok());
  RunFor(loop, milliseconds(50));
  BOOST_TEST(a.Traffic("request").messages_sent == 0U);
  int received = 0;
  Mesh late(loop,
            {.id = InstanceId("b"), .address = kTestAddress, .port = port},
            [&](const InstanceId&, const mesh::Envelope&) { ++received; });
  BOOST_REQUIRE(late.Listen().ok());
  BOOST_TEST(RunUntil(loop, [&] { return received == 1; }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_connection)

BOOST_AUTO_TEST_CASE(is_made_at_the_first_message_and_closed_when_idle) {
  EventLoop loop;
  // Long enough for a busy machine to deliver the message before the close.
  Node a(loop, "a", {}, milliseconds(1000));
  Node b(loop, "b");
  a.AddPeer(b);
  BOOST_TEST(a.mesh.open_connections() == 0U);
  BOOST_TEST(a.mesh.Send(b.id, Control()).ok());
  BOOST_TEST(a.mesh.open_connections() == 1U);
  BOOST_TEST(RunUntil(loop, [&] { return a.mesh.open_connections() == 0; }));
  BOOST_TEST(b.messages.size() == 1U);
  BOOST_TEST(a.mesh.Send(b.id, Control()).ok());
  BOOST_TEST(RunUntil(loop, [&] { return b.messages.size() == 2; }));
}

BOOST_AUTO_TEST_CASE(closes_when_its_peer_is_removed) {
  EventLoop loop;
  Node a(loop, "a");
  Node b(loop, "b");
  a.AddPeer(b);
  BOOST_TEST(a.mesh.Send(b.id, Control()).ok());
  a.mesh.RemovePeer(b.id);
  BOOST_TEST(a.mesh.open_connections() == 0U);
  BOOST_TEST(!a.mesh.Send(b.id, Control()).ok());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_mesh_with_keys)

BOOST_AUTO_TEST_CASE(delivers_between_allowed_peers) {
  EventLoop loop;
  MeshKeys keys_a = NewMeshKeys();
  MeshKeys keys_b = NewMeshKeys();
  keys_b.allowed_public_keys = {keys_a.public_key};
  Node a(loop, "a", keys_a);
  Node b(loop, "b", keys_b);
  a.AddPeer(b);
  BOOST_TEST(a.mesh.Send(b.id, Work()).ok());
  BOOST_TEST(RunUntil(loop, [&] { return b.messages.size() == 1; }));
  BOOST_TEST(b.mesh.refused_peers() == 0U);
}

BOOST_AUTO_TEST_CASE(refuses_a_peer_whose_key_is_not_allowed) {
  EventLoop loop;
  const MeshKeys stranger_keys = NewMeshKeys();
  Node stranger(loop, "stranger", stranger_keys);
  Node b(loop, "b", NewMeshKeys());
  stranger.AddPeer(b);
  BOOST_TEST(stranger.mesh.Send(b.id, Work()).ok());
  BOOST_TEST(RunUntil(loop, [&] { return b.mesh.refused_peers() > 0; }));
  RunFor(loop, milliseconds(50));
  BOOST_TEST(b.messages.empty());
  BOOST_TEST(stranger.Traffic("request").messages_sent == 0U);
}

BOOST_AUTO_TEST_CASE(refuses_a_peer_without_any_key) {
  EventLoop loop;
  Node plain(loop, "plain");
  Node b(loop, "b", NewMeshKeys());
  plain.AddPeer(b);
  BOOST_TEST(plain.mesh.Send(b.id, Work()).ok());
  RunFor(loop, milliseconds(100));
  BOOST_TEST(b.messages.empty());
}

BOOST_AUTO_TEST_CASE(refuses_a_peer_that_claims_another_id) {
  EventLoop loop;
  const MeshKeys keys_a = NewMeshKeys();
  const MeshKeys keys_c = NewMeshKeys();
  Node b(loop, "b", NewMeshKeys());
  b.mesh.SetPeer(InstanceId("a"), kTestAddress, 1, keys_a.public_key);
  b.mesh.SetPeer(InstanceId("c"), kTestAddress, 2, keys_c.public_key);
  // The sender uses the key of c and claims to be a.
  Node impostor(loop, "a", keys_c);
  impostor.AddPeer(b);
  BOOST_TEST(impostor.mesh.Send(b.id, Work()).ok());
  BOOST_TEST(RunUntil(loop, [&] { return b.mesh.refused_frames() == 1; }));
  BOOST_TEST(b.messages.empty());
}

BOOST_AUTO_TEST_CASE(sends_nothing_to_a_peer_whose_key_is_unknown) {
  EventLoop loop;
  Node a(loop, "a", NewMeshKeys());
  a.mesh.SetPeer(InstanceId("b"), kTestAddress, 1, "");
  BOOST_TEST((CodeOf(a.mesh.Send(InstanceId("b"), Work())) ==
              ResultCode::kMeshPeerUnknown));
}

BOOST_AUTO_TEST_CASE(no_longer_accepts_the_key_of_a_removed_peer) {
  EventLoop loop;
  const MeshKeys keys_a = NewMeshKeys();
  Node b(loop, "b", NewMeshKeys());
  b.mesh.SetPeer(InstanceId("a"), kTestAddress, 1, keys_a.public_key);
  b.mesh.RemovePeer(InstanceId("a"));
  Node a(loop, "a", keys_a);
  a.AddPeer(b);
  BOOST_TEST(a.mesh.Send(b.id, Work()).ok());
  BOOST_TEST(RunUntil(loop, [&] { return b.mesh.refused_peers() > 0; }));
  BOOST_TEST(b.messages.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_full_queue)

QueuedMessage Queued(std::string bytes, bool work) {
  return {.bytes = std::move(bytes), .message_class = 0, .carries_work = work};
}

std::string Contents(MeshQueue& queue) {
  std::string all;
  while (!queue.empty()) {
    all += queue.front().bytes;
    queue.Pop();
  }
  return all;
}

BOOST_AUTO_TEST_CASE(drops_its_oldest_control_message) {
  MeshQueue queue(3, 100);
  BOOST_TEST(queue.Push(Queued("W", true)));
  BOOST_TEST(queue.Push(Queued("1", false)));
  BOOST_TEST(queue.Push(Queued("2", false)));
  BOOST_TEST(queue.Push(Queued("3", false)));
  BOOST_TEST(queue.Push(Queued("V", true)));
  BOOST_TEST(queue.dropped() == 2U);
  BOOST_TEST(Contents(queue) == "W3V");
  BOOST_TEST(queue.bytes() == 0U);
}

BOOST_AUTO_TEST_CASE(of_work_accepts_neither_control_nor_more_work) {
  MeshQueue queue(2, 100);
  BOOST_TEST(queue.Push(Queued("W", true)));
  BOOST_TEST(queue.Push(Queued("V", true)));
  BOOST_TEST(!queue.Push(Queued("1", false)));
  BOOST_TEST(!queue.Push(Queued("U", true)));
  BOOST_TEST(queue.dropped() == 2U);
  BOOST_TEST(Contents(queue) == "WV");
}

BOOST_AUTO_TEST_CASE(is_bounded_by_bytes_too) {
  MeshQueue queue(100, 10);
  BOOST_TEST(queue.Push(Queued("12345", false)));
  BOOST_TEST(queue.Push(Queued("WWWWW", true)));
  BOOST_TEST(queue.Push(Queued("VVVVV", true)));
  BOOST_TEST(!queue.Push(Queued("6", false)));
  BOOST_TEST(Contents(queue) == "WWWWWVVVVV");
}

BOOST_AUTO_TEST_CASE(to_a_silent_peer_never_blocks_and_returns_an_error) {
  EventLoop loop;
  Node a(loop, "a");
  a.mesh.SetPeer(InstanceId("b"), kTestAddress, 1, "");
  for (int i = 0; i < 8; ++i) {
    BOOST_TEST(a.mesh.Send(InstanceId("b"), Work()).ok());
  }
  BOOST_TEST((CodeOf(a.mesh.Send(InstanceId("b"), Work())) ==
              ResultCode::kMeshQueueFull));
  BOOST_TEST(a.mesh.dropped() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander::io
