#include "io/zap_handler.h"

#include <array>
#include <utility>
#include <vector>
#include <zmq_addon.hpp>

namespace oleander::io {
namespace {

constexpr char kZapEndpoint[] = "inproc://zeromq.zap.01";
constexpr size_t kKeyBytes = 32;
constexpr size_t kKeyText = 41;  // With the terminating zero.
// The frames are version, request id, domain, address, identity, mechanism and
// credentials.
constexpr size_t kRequestFrames = 7;

// Returns the public key in Z85, or an empty string if the request does not
// come from the CURVE mechanism.
std::string KeyOf(const std::vector<zmq::message_t>& frames) {
  if (frames.size() != kRequestFrames ||
      frames[5].to_string_view() != "CURVE" || frames[6].size() != kKeyBytes) {
    return {};
  }
  std::array<char, kKeyText> text = {};
  zmq_z85_encode(text.data(), frames[6].data<uint8_t>(), kKeyBytes);
  return text.data();
}

}  // namespace

ZapHandler::ZapHandler(EventLoop& loop, zmq::context_t& context,
                       std::function<bool(const std::string&)> allowed)
    : socket_(context, zmq::socket_type::rep), allowed_(std::move(allowed)) {
  socket_.set(zmq::sockopt::linger, 0);
  socket_.bind(kZapEndpoint);
  watch_ = loop.WatchReadable(socket_.get(zmq::sockopt::fd),
                              [this] { AnswerPending(); });
}

// The descriptor is edge-triggered: it signals the next request only after all
// pending ones were read.
void ZapHandler::AnswerPending() {
  while ((socket_.get(zmq::sockopt::events) & ZMQ_POLLIN) != 0 && AnswerOne()) {
  }
}

bool ZapHandler::AnswerOne() {
  std::vector<zmq::message_t> frames;
  if (!zmq::recv_multipart(socket_, std::back_inserter(frames),
                           zmq::recv_flags::dontwait)) {
    return false;
  }
  const std::string key = KeyOf(frames);
  const bool allowed = !key.empty() && allowed_(key);
  if (!allowed) {
    ++refused_;
  }
  const std::string user_id = allowed ? key : std::string();
  const std::string id = frames.size() > 1 ? frames[1].to_string() : "";
  const std::array<zmq::const_buffer, 6> answer = {
      zmq::str_buffer("1.0"),
      zmq::buffer(id),
      allowed ? zmq::str_buffer("200") : zmq::str_buffer("400"),
      allowed ? zmq::buffer(std::string_view("OK"))
              : zmq::buffer(std::string_view("This key is not allowed.")),
      zmq::buffer(user_id),
      zmq::str_buffer(""),
  };
  zmq::send_multipart(socket_, answer, zmq::send_flags::dontwait);
  return true;
}

}  // namespace oleander::io
