// A server that answers each request on a connection with given bytes and then
// keeps the connection open, closes it or resets it. Serves answers that no
// HTTP server would send.
#ifndef OLEANDER_TEST_SUPPORT_SCRIPTED_SERVER_H_
#define OLEANDER_TEST_SUPPORT_SCRIPTED_SERVER_H_

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <cerrno>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "io/event_loop.h"
#include "io/socket_address.h"

namespace oleander::io {

// kEndProcess closes the listener and the connection, as the kernel does when a
// process has ended.
enum class AfterAnswer { kKeep, kClose, kReset, kEndProcess };

struct ScriptedAnswer {
  std::string bytes;
  AfterAnswer after = AfterAnswer::kKeep;
  // Sent repeatedly after `bytes`, until the caller closes the connection.
  std::string repeated = {};
  Duration repeat_interval = std::chrono::milliseconds(1);
};

class ScriptedServer {
 public:
  using Script = std::function<ScriptedAnswer(const std::string& request)>;

  // Port 0 selects a free port.
  ScriptedServer(EventLoop& loop, const std::string& address, Script script,
                 uint16_t port = 0)
      : loop_(loop), script_(std::move(script)) {
    auto bound = ListenTcp(address, port);
    BOOST_REQUIRE(bound.ok());
    listener_ = bound->fd;
    port_ = bound->port;
    watch_ = loop_.WatchReadable(listener_, [this] { Accept(); });
  }
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;
  ~ScriptedServer() {
    connections_.clear();
    StopListening();
  }

  // Sends bytes that no request asked for, on the newest connection.
  void SendUnasked(const std::string& bytes) {
    BOOST_REQUIRE(send(connections_.back()->fd, bytes.data(), bytes.size(),
                       MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
  }

  uint16_t port() const { return port_; }
  int accepted() const { return accepted_; }
  // The connection of the newest request, counted from 1.
  int connection() const { return connection_; }
  // The bytes of `repeated` that were sent, and whether a caller closed the
  // connection while they were being sent.
  size_t repeated_bytes_sent() const { return repeated_bytes_sent_; }
  bool caller_closed() const { return caller_closed_; }
  // The number of connections that callers reset.
  int resets() const { return resets_; }
  const std::vector<std::string>& requests() const { return requests_; }

 private:
  struct Connection {
    Connection() = default;
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;
    ~Connection() { Close(); }
    void Close() {
      watch.reset();
      if (fd >= 0) {
        close(fd);
        fd = -1;
      }
    }
    int fd = -1;
    int number = 0;
    std::unique_ptr<EventLoop::FdWatch> watch;
    std::string received;
    Timer repeat_timer;
  };

  void StopListening() {
    watch_.reset();
    if (listener_ >= 0) {
      close(listener_);
      listener_ = -1;
    }
  }

  void Accept() {
    const int fd =
        accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
      return;
    }
    ++accepted_;
    auto connection = std::make_shared<Connection>();
    connection->fd = fd;
    connection->number = accepted_;
    Connection* raw = connection.get();
    connection->watch = loop_.WatchReadable(fd, [this, raw] { Read(*raw); });
    connections_.push_back(std::move(connection));
  }

  void Read(Connection& connection) {
    std::array<char, 65536> buffer;
    const ssize_t count =
        recv(connection.fd, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (count <= 0) {
      resets_ += count < 0 && errno == ECONNRESET ? 1 : 0;
      caller_closed_ = caller_closed_ || connection.repeat_timer.active();
      connection.repeat_timer.Cancel();
      connection.watch.reset();
      return;
    }
    connection.received.append(buffer.data(), static_cast<size_t>(count));
    if (connection.received.find("\r\n\r\n") == std::string::npos) {
      return;
    }
    requests_.push_back(std::exchange(connection.received, {}));
    connection_ = connection.number;
    const ScriptedAnswer answer = script_(requests_.back());
    BOOST_REQUIRE(answer.bytes.empty() ||
                  send(connection.fd, answer.bytes.data(), answer.bytes.size(),
                       MSG_NOSIGNAL) ==
                      static_cast<ssize_t>(answer.bytes.size()));
    if (!answer.repeated.empty()) {
      connection.repeat_timer =
          loop_.Every(answer.repeat_interval, [this, &connection, answer] {
            const ssize_t sent =
                send(connection.fd, answer.repeated.data(),
                     answer.repeated.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
            repeated_bytes_sent_ +=
                static_cast<size_t>(std::max<ssize_t>(sent, 0));
          });
    }
    if (answer.after == AfterAnswer::kReset) {
      const linger none = {.l_onoff = 1, .l_linger = 0};
      setsockopt(connection.fd, SOL_SOCKET, SO_LINGER, &none, sizeof none);
    }
    if (answer.after != AfterAnswer::kKeep) {
      // Gives the bytes time to be sent before the connection ends.
      end_timers_.push_back(
          loop_.After(std::chrono::milliseconds(20),
                      [this, &connection, after = answer.after] {
                        if (after == AfterAnswer::kEndProcess) {
                          StopListening();
                        }
                        connection.Close();
                      }));
    }
  }

  EventLoop& loop_;
  Script script_;
  int listener_ = -1;
  uint16_t port_ = 0;
  int accepted_ = 0;
  int connection_ = 0;
  size_t repeated_bytes_sent_ = 0;
  bool caller_closed_ = false;
  int resets_ = 0;
  std::unique_ptr<EventLoop::FdWatch> watch_;
  std::vector<std::shared_ptr<Connection>> connections_;
  std::vector<std::string> requests_;
  std::vector<Timer> end_timers_;
};

}  // namespace oleander::io

#endif  // OLEANDER_TEST_SUPPORT_SCRIPTED_SERVER_H_
