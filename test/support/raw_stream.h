// A caller that sends a request and never reads the answer: a plain socket that
// uses no heap memory.
#ifndef OLEANDER_TEST_SUPPORT_RAW_STREAM_H_
#define OLEANDER_TEST_SUPPORT_RAW_STREAM_H_

#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <string_view>

#include "io/socket_address.h"

namespace oleander::io {

class RawStream {
 public:
  RawStream(const std::string& address, uint16_t port) {
    constexpr std::string_view kRequest = "GET / HTTP/1.1\r\nhost: h\r\n\r\n";
    const auto target = ParseAddress(address, port);
    fd_ = socket(target->bytes.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
    ok_ = connect(fd_, target->raw(), target->length) == 0 &&
          send(fd_, kRequest.data(), kRequest.size(), MSG_NOSIGNAL) ==
              static_cast<ssize_t>(kRequest.size());
  }
  RawStream(const RawStream&) = delete;
  RawStream& operator=(const RawStream&) = delete;
  ~RawStream() { close(fd_); }

  bool ok() const { return ok_; }

 private:
  int fd_ = -1;
  bool ok_ = false;
};

}  // namespace oleander::io

#endif  // OLEANDER_TEST_SUPPORT_RAW_STREAM_H_
