// Tells whether anything accepts TCP connections at an address.
//
// Opens a connection and closes it at once, without sending a byte.
//
//   check = std::make_unique<ReachabilityCheck>(
//       loop, address, std::chrono::milliseconds(300),
//       [](bool reachable) { ... });
#ifndef OLEANDER_IO_REACHABILITY_CHECK_H_
#define OLEANDER_IO_REACHABILITY_CHECK_H_

#include <functional>

#include "io/event_loop.h"
#include "io/h2o.h"
#include "io/socket_address.h"

namespace oleander::io {

class ReachabilityCheck {
 public:
  using Done = std::function<void(bool reachable)>;

  // Calls `done` once, within `timeout` and not before the constructor returns.
  // `done` may destroy the check.
  ReachabilityCheck(EventLoop& loop, const SocketAddress& address,
                    Duration timeout, Done done);
  ReachabilityCheck(const ReachabilityCheck&) = delete;
  ReachabilityCheck& operator=(const ReachabilityCheck&) = delete;
  // Cancels the check; `done` isn't called.
  ~ReachabilityCheck();

 private:
  static void OnConnect(h2o_socket_t* socket, const char* error);
  void CloseSocket();
  void Finish(bool reachable);

  h2o_socket_t* socket_ = nullptr;
  Timer timer_;
  Done done_;
};

}  // namespace oleander::io

#endif  // OLEANDER_IO_REACHABILITY_CHECK_H_
