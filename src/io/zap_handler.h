// Decides which CURVE keys may connect to the mesh: ZeroMQ asks over a socket
// inside the process (RFC 27, ZAP), answered on our loop.
#ifndef OLEANDER_IO_ZAP_HANDLER_H_
#define OLEANDER_IO_ZAP_HANDLER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <zmq.hpp>

#include "io/event_loop.h"

namespace oleander::io {

// The domain that the mesh's sockets name to ZAP.
inline constexpr char kZapDomain[] = "oleander";

class ZapHandler {
 public:
  // `allowed` is asked with a public key in Z85. A key that it allows becomes
  // the connection's user id. Construct it before any socket is bound.
  ZapHandler(EventLoop& loop, zmq::context_t& context,
             std::function<bool(const std::string& public_key)> allowed);

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
