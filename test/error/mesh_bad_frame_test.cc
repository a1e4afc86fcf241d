// Bytes that are not a valid mesh message are rejected and counted, and the
// next valid message still arrives.
#include <boost/test/unit_test.hpp>
#include <string>
#include <string_view>
#include <zmq.hpp>

#include "io/mesh.h"
#include "io/mesh_codec.h"
#include "oleander/result_code.h"
#include "support/io_fixture.h"

namespace oleander::io {
namespace {

mesh::Envelope ValidMessage() {
  mesh::Envelope message;
  message.set_version(kMeshVersion);
  message.set_from("a");
  message.mutable_load();
  return message;
}

// An instance and a socket that sends arbitrary frames to it.
struct Target {
  Target() {
    BOOST_REQUIRE(mesh.Listen().ok());
    socket.set(zmq::sockopt::linger, 0);
    socket.connect("tcp://" + std::string(kTestAddress) + ":" +
                   std::to_string(mesh.port()));
  }

  void Send(std::string_view frame, bool more = false) {
    socket.send(zmq::buffer(frame),
                more ? zmq::send_flags::sndmore : zmq::send_flags::none);
  }

  bool Refuses(uint64_t frames) {
    return RunUntil(loop, [&] { return mesh.refused_frames() == frames; }) &&
           received == 0;
  }

  bool StillReceives() {
    Send(EncodeEnvelope(ValidMessage()));
    return RunUntil(loop, [&] { return received == 1; });
  }

  EventLoop loop;
  int received = 0;
  Mesh mesh{loop,
            {.id = InstanceId("b"), .address = kTestAddress},
            [this](const InstanceId&, const mesh::Envelope&) { ++received; }};
  zmq::context_t context;
  zmq::socket_t socket{context, zmq::socket_type::dealer};
};

BOOST_AUTO_TEST_SUITE(mesh_bad_frame)

BOOST_AUTO_TEST_CASE(a_truncated_message_is_refused_at_every_length) {
  Target target;
  const std::string whole = EncodeEnvelope(ValidMessage());
  for (size_t length = 0; length < whole.size(); ++length) {
    BOOST_TEST(!DecodeEnvelope(whole.substr(0, length)).ok());
    target.Send(whole.substr(0, length));
  }
  BOOST_TEST(target.Refuses(whole.size()));
  BOOST_TEST(target.StillReceives());
}

BOOST_AUTO_TEST_CASE(bytes_that_are_no_protobuf_are_refused) {
  Target target;
  target.Send("\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff");
  BOOST_TEST(target.Refuses(1));
  BOOST_TEST(target.StillReceives());
}

BOOST_AUTO_TEST_CASE(another_version_is_refused) {
  Target target;
  mesh::Envelope message = ValidMessage();
  message.set_version(kMeshVersion + 1);
  BOOST_TEST((CodeOf(DecodeEnvelope(EncodeEnvelope(message)).status()) ==
              ResultCode::kMeshWrongVersion));
  target.Send(EncodeEnvelope(message));
  BOOST_TEST(target.Refuses(1));
  BOOST_TEST(target.StillReceives());
}

BOOST_AUTO_TEST_CASE(a_message_without_a_sender_or_body_is_refused) {
  Target target;
  mesh::Envelope nameless = ValidMessage();
  nameless.clear_from();
  mesh::Envelope empty = ValidMessage();
  empty.clear_body();
  for (const auto& message : {nameless, empty}) {
    BOOST_TEST((CodeOf(DecodeEnvelope(EncodeEnvelope(message)).status()) ==
                ResultCode::kMeshBadFrame));
    target.Send(EncodeEnvelope(message));
  }
  BOOST_TEST(target.Refuses(2));
  BOOST_TEST(target.StillReceives());
}

BOOST_AUTO_TEST_CASE(a_message_of_many_frames_is_refused_whole) {
  Target target;
  const std::string good = EncodeEnvelope(ValidMessage());
  target.Send(good, true);
  target.Send(good, true);
  target.Send(good);
  BOOST_TEST(target.Refuses(1));
  BOOST_TEST(target.StillReceives());
}

BOOST_AUTO_TEST_CASE(bytes_of_another_protocol_are_ignored) {
  Target target;
  RawConnection raw(kTestAddress, target.mesh.port());
  raw.Send("GET / HTTP/1.1\r\nhost: h\r\n\r\n");
  BOOST_TEST(target.StillReceives());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander::io
