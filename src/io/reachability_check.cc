#include "io/reachability_check.h"

#include <utility>

namespace oleander::io {

ReachabilityCheck::ReachabilityCheck(EventLoop& loop,
                                     const SocketAddress& address,
                                     Duration timeout, Done done)
    : done_(std::move(done)) {
  SocketAddress target = address;
  socket_ = h2o_socket_connect(loop.raw(), target.raw(), target.length,
                               &ReachabilityCheck::OnConnect);
  if (socket_ != nullptr) {
    socket_->data = this;
  }
  const bool failed = socket_ == nullptr;
  timer_ = loop.After(failed ? Duration::zero() : timeout,
                      [this] { Finish(/*reachable=*/false); });
}

ReachabilityCheck::~ReachabilityCheck() { CloseSocket(); }

void ReachabilityCheck::OnConnect(h2o_socket_t* socket, const char* error) {
  static_cast<ReachabilityCheck*>(socket->data)->Finish(error == nullptr);
}

void ReachabilityCheck::CloseSocket() {
  if (socket_ != nullptr) {
    h2o_socket_close(std::exchange(socket_, nullptr));
  }
}

void ReachabilityCheck::Finish(bool reachable) {
  timer_.Cancel();
  CloseSocket();
  const Done done = std::move(done_);
  done(reachable);
}

}  // namespace oleander::io
