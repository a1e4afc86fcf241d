// Decides which CURVE keys may connect to the mesh. ZeroMQ sends its queries
// over a socket inside the process (ZAP, RFC 27), and the event loop answers
// them.
#ifndef OLEANDER_IO_ZAP_HANDLER_H_
#define OLEANDER_IO_ZAP_HANDLER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <zmq.hpp>

#include "io/event_loop.h"

namespace oleander::io {

// The ZAP domain of the mesh's sockets.
inline constexpr char kZapDomain[] = "oleander";

class ZapHandler {
 public:
  // `allowed` returns whether a public key in Z85 may connect. An allowed key
  // becomes the connection's user id. The handler must be constructed before
  // any socket is bound.
  ZapHandler(EventLoop& loop, zmq::context_t& context,
             std::function<bool(const std::string& public_key)> allowed);

  // Returns the number of refused connections.
  uint64_t refused() const { return refused_; }

 private:
  void AnswerPending();
  bool AnswerOne();

  zmq::socket_t socket_;
  std::function<bool(const std::string&)> allowed_;
  uint64_t refused_ = 0;
  std::unique_ptr<EventLoop::FdWatch> watch_;
};

}  // namespace oleander::io

#endif  // OLEANDER_IO_ZAP_HANDLER_H_
