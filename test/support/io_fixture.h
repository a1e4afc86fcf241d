// Runs an event loop in a test until a condition holds, and opens raw
// connections for bytes that no HTTP client sends.
#ifndef OLEANDER_TEST_SUPPORT_IO_FIXTURE_H_
#define OLEANDER_TEST_SUPPORT_IO_FIXTURE_H_

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <string>
#include <string_view>

#include "io/event_loop.h"
#include "io/socket_address.h"

namespace oleander::io {

// Each test program uses its own addresses.
inline constexpr char kTestAddress[] = "127.11.0.1";

// Runs `loop` until `holds` returns true. Returns false after 60 s, which only
// ends a test that hangs; no result depends on how long something takes.
inline bool RunUntil(EventLoop& loop, const std::function<bool()>& holds) {
  bool hung = false;
  const Timer guard = loop.After(std::chrono::seconds(60), [&] {
    hung = true;
    loop.Stop();
  });
  const Timer check = loop.Every(std::chrono::milliseconds(1), [&] {
    if (holds()) {
      loop.Stop();
    }
  });
  loop.Run();
  return !hung && holds();
}

// Runs `loop` for `duration`, to show that something does not happen.
inline void RunFor(EventLoop& loop, Duration duration) {
  const Timer stop = loop.After(duration, [&] { loop.Stop(); });
  loop.Run();
}

// A connection that sends given bytes and collects the received ones.
class RawConnection {
 public:
  RawConnection(const std::string& address, uint16_t port) {
    const auto target = ParseAddress(address, port);
    fd_ = socket(target->bytes.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
    BOOST_REQUIRE(connect(fd_, target->raw(), target->length) == 0);
  }
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;
  ~RawConnection() { Close(); }

  void Send(std::string_view bytes) {
    BOOST_REQUIRE(send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
                  static_cast<ssize_t>(bytes.size()));
  }

  // Reads without waiting. Returns false once the other side has closed the
  // connection.
  bool Poll() {
    std::array<char, 65536> buffer;
    while (open_) {
      const ssize_t count =
          recv(fd_, buffer.data(), buffer.size(), MSG_DONTWAIT);
      if (count > 0) {
        received_.append(buffer.data(), static_cast<size_t>(count));
        continue;
      }
      open_ = count != 0 && (errno == EAGAIN || errno == EINTR);
      break;
    }
    return open_;
  }

  void Close() {
    if (fd_ >= 0) {
      close(fd_);
      fd_ = -1;
    }
  }

  const std::string& received() const { return received_; }

 private:
  int fd_ = -1;
  bool open_ = true;
  std::string received_;
};

}  // namespace oleander::io

#endif  // OLEANDER_TEST_SUPPORT_IO_FIXTURE_H_
