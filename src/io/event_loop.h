// The event loop of a single-threaded program: sockets of h2o, file descriptors
// of ZeroMQ, timers, and signals.
#ifndef OLEANDER_IO_EVENT_LOOP_H_
#define OLEANDER_IO_EVENT_LOOP_H_

#include <functional>
#include <memory>

#include "oleander/types.h"

struct st_h2o_evloop_t;  // NOLINT(readability-identifier-naming): h2o's.

namespace oleander::io {

// Owns a timer and cancels it on destruction. Movable; an empty handle does
// nothing.
class Timer {
 public:
  Timer() = default;
  explicit Timer(std::shared_ptr<bool> active) : active_(std::move(active)) {}
  Timer(Timer&&) = default;
  Timer& operator=(Timer&& other) noexcept;
  ~Timer() { Cancel(); }

  void Cancel();
  bool active() const { return active_ != nullptr && *active_; }

 private:
  std::shared_ptr<bool> active_;
};

// Runs callbacks until Stop(). The other classes of this layer may be used from
// callbacks of the loop only.
class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Returns the time of the monotonic clock that continues while the machine is
  // suspended (CLOCK_BOOTTIME).
  Time now() const;
  // Returns the wall clock's time, for audit records only.
  static WallTime wall_now();

  // Calls `callback` once after `delay`.
  [[nodiscard]] Timer After(Duration delay, std::function<void()> callback);
  // Calls `callback` every `period`, first after one period.
  [[nodiscard]] Timer Every(Duration period, std::function<void()> callback);
  // Calls `callback` in the next round of the loop. It can't be cancelled.
  void Post(std::function<void()> callback);

  // Calls `callback` whenever `fd` is readable, without reading from it. The
  // caller keeps ownership of `fd` and destroys the handle first.
  class FdWatch;
  [[nodiscard]] std::unique_ptr<FdWatch> WatchReadable(
      int fd, std::function<void()> callback);

  // Calls `callback` in the loop when the process receives SIGTERM or SIGINT.
  // Only one loop per process may register for a signal.
  void OnTerminationSignal(std::function<void()> callback);

  // Calls `callback` in the loop when the process receives SIGHUP.
  void OnReloadSignal(std::function<void()> callback);

  void Run();
  void Stop();

  // For the other wrappers of this layer. RunSockets() handles the sockets of
  // one round only, without timers and posted callbacks.
  st_h2o_evloop_t* raw() const;
  void RunSockets(int max_wait_ms);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

class EventLoop::FdWatch {
 public:
  virtual ~FdWatch() = default;
};

}  // namespace oleander::io

#endif  // OLEANDER_IO_EVENT_LOOP_H_
