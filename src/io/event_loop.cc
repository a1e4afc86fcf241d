#include "io/event_loop.h"

#include <fcntl.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <ctime>
#include <initializer_list>
#include <tuple>
#include <utility>
#include <vector>

#include "fmt/format.h"
#include "io/h2o.h"
#include "io/log.h"
#include "oleander/invariant.h"

namespace oleander::io {
namespace {

constexpr Duration kMaxWait = std::chrono::seconds(60);
// A timer that fires later than this shows that the loop was busy, or the
// machine suspended.
constexpr Duration kMaxLateness = std::chrono::milliseconds(200);
// The minimum size at which cancelled timers are removed from the heap. After
// that, the heap is swept each time its size has doubled.
constexpr size_t kMinSweepSize = 1024;

struct TimerEntry {
  Time at;
  uint64_t order = 0;  // Timers for the same time fire in the order of setting.
  std::shared_ptr<bool> active;
  std::function<void()> callback;
  Duration period = Duration::zero();  // Zero for a timer that fires once.
};

// std::push_heap keeps the largest element first, so the order is reversed.
bool FiresLater(const TimerEntry& a, const TimerEntry& b) {
  return std::tie(a.at, a.order) > std::tie(b.at, b.order);
}

class TimerHeap {
 public:
  std::shared_ptr<bool> Add(Time at, Duration period,
                            std::function<void()> callback) {
    SweepIfGrown();
    auto active = std::make_shared<bool>(true);
    Push({.at = at,
          .order = next_order_++,
          .active = active,
          .callback = std::move(callback),
          .period = period});
    return active;
  }

  // Fires the timers that are due at `now`. Timers that their callbacks add
  // fire in the next round at the earliest.
  void RunDue(Time now) {
    const uint64_t end = next_order_;
    LogIfLate(now);
    while (!heap_.empty() && heap_.front().at <= now &&
           heap_.front().order < end) {
      Fire(Pop(), now);
    }
  }

  // Returns the time until the next timer is due, at most kMaxWait.
  Duration TimeUntilNext(Time now) const {
    if (heap_.empty()) {
      return kMaxWait;
    }
    return std::clamp(heap_.front().at - now, Duration::zero(), kMaxWait);
  }

 private:
  void LogIfLate(Time now) const {
    if (heap_.empty() || now - heap_.front().at <= kMaxLateness) {
      return;
    }
    Log(LogLevel::kWarning, "loop.late",
        {{"ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                    now - heap_.front().at)
                    .count()}});
  }

  void Push(TimerEntry entry) {
    heap_.push_back(std::move(entry));
    std::ranges::push_heap(heap_, FiresLater);
  }

  TimerEntry Pop() {
    std::ranges::pop_heap(heap_, FiresLater);
    TimerEntry entry = std::move(heap_.back());
    heap_.pop_back();
    return entry;
  }

  void Fire(TimerEntry entry, Time now) {
    if (!*entry.active) {
      return;
    }
    if (entry.period == Duration::zero()) {
      *entry.active = false;
      entry.callback();
      return;
    }
    entry.callback();
    if (!*entry.active) {
      return;
    }
    // A loop that has fallen behind skips the missed periods.
    entry.at = std::max(entry.at + entry.period, now + Duration(1));
    entry.order = next_order_++;
    Push(std::move(entry));
  }

  // Removes cancelled timers. They stay in the heap until they are due or
  // removed here, so that cancelling has no cost.
  void SweepIfGrown() {
    if (heap_.size() < sweep_at_) {
      return;
    }
    std::erase_if(heap_,
                  [](const TimerEntry& entry) { return !*entry.active; });
    std::ranges::make_heap(heap_, FiresLater);
    sweep_at_ = std::max(kMinSweepSize, heap_.size() * 2);
  }

  std::vector<TimerEntry> heap_;
  uint64_t next_order_ = 0;
  size_t sweep_at_ = kMinSweepSize;
};

// Watches a duplicate of the descriptor, since h2o closes the one it is given.
class H2oFdWatch : public EventLoop::FdWatch {
 public:
  H2oFdWatch(h2o_evloop_t* loop, int fd, std::function<void()> callback)
      : callback_(std::move(callback)) {
    const int duplicate = fcntl(fd, F_DUPFD_CLOEXEC, 0);
    const bool duplicated =
        CheckInvariant(duplicate >= 0, "watched_fd_open", [&] {
          return fmt::format("File descriptor {} can't be watched: {}.", fd,
                             std::strerror(errno));
        });
    if (!duplicated) {
      return;
    }
    socket_ =
        h2o_evloop_socket_create(loop, duplicate, H2O_SOCKET_FLAG_DONT_READ);
    socket_->data = this;
    h2o_socket_read_start(socket_, OnReadable);
  }

  H2oFdWatch(const H2oFdWatch&) = delete;
  H2oFdWatch& operator=(const H2oFdWatch&) = delete;

  ~H2oFdWatch() override {
    if (socket_ == nullptr) {
      return;
    }
    h2o_socket_read_stop(socket_);
    h2o_socket_close(socket_);
  }

 private:
  static void OnReadable(h2o_socket_t* socket, const char* /*error*/) {
    // The callback may destroy this watch.
    const auto callback = static_cast<H2oFdWatch*>(socket->data)->callback_;
    callback();
  }

  std::function<void()> callback_;
  h2o_socket_t* socket_ = nullptr;
};

}  // namespace

Timer& Timer::operator=(Timer&& other) noexcept {
  if (this != &other) {
    Cancel();
    active_ = std::move(other.active_);
  }
  return *this;
}

void Timer::Cancel() {
  if (active_ != nullptr) {
    *active_ = false;
    active_.reset();
  }
}

struct EventLoop::Impl {
  h2o_evloop_t* loop = h2o_evloop_create();
  TimerHeap timers;
  std::vector<std::function<void()>> posted;
  bool stopped = false;
  struct SignalWatch {
    int fd = -1;
    std::unique_ptr<FdWatch> watch;
  };
  std::vector<SignalWatch> signals;

  void OnSignals(std::initializer_list<int> numbers, EventLoop& owner,
                 std::function<void()> callback) {
    sigset_t set;
    sigemptyset(&set);
    std::ranges::for_each(numbers,
                          [&set](int number) { sigaddset(&set, number); });
    sigprocmask(SIG_BLOCK, &set, nullptr);
    const int fd = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
    auto watch = owner.WatchReadable(fd, [fd, callback = std::move(callback)] {
      signalfd_siginfo info;
      bool arrived = false;
      while (read(fd, &info, sizeof info) == sizeof info) {
        arrived = true;
      }
      if (arrived) {
        callback();
      }
    });
    signals.push_back({.fd = fd, .watch = std::move(watch)});
  }

  void RunPosted() {
    std::vector<std::function<void()>> round;
    round.swap(posted);
    for (const auto& callback : round) {
      callback();
    }
  }

  // Destructors of dropped callbacks may post again, hence the loop.
  void DropPosted() {
    while (!posted.empty()) {
      const auto dropped = std::exchange(posted, {});
    }
  }

  // Rounds up, since waking up too early would make the loop spin.
  int32_t WaitMilliseconds(Time now) const {
    if (!posted.empty()) {
      return 0;
    }
    return static_cast<int32_t>(
        std::chrono::ceil<std::chrono::milliseconds>(timers.TimeUntilNext(now))
            .count());
  }
};

EventLoop::EventLoop() : impl_(std::make_unique<Impl>()) {
  // The input buffer of a connection stays allocated while its request is
  // answered. Most requests fit into half of h2o's default size. A smaller
  // buffer would not help, since h2o reads 4 KB at a time.
  h2o_socket_buffer_prototype._initial_buf.capacity =
      H2O_SOCKET_INITIAL_INPUT_BUFFER_SIZE;
  // Writes to a closed connection return an error instead.
  std::signal(SIGPIPE, SIG_IGN);
}

EventLoop::~EventLoop() {
  for (Impl::SignalWatch& signal : impl_->signals) {
    signal.watch.reset();
    close(signal.fd);
  }
  // Objects that the callbacks own may refer to h2o's loop, so they are
  // destroyed first.
  impl_->timers = TimerHeap();
  impl_->DropPosted();
  // h2o frees closed sockets in the round after.
  RunSockets(0);
  h2o_evloop_destroy(impl_->loop);
}

// CLOCK_BOOTTIME continues while the machine is suspended, since leases and
// proofs of a recent state expire during that time, too.
Time EventLoop::now() const {
  timespec time = {};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return Time(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(time.tv_sec) +
      std::chrono::nanoseconds(time.tv_nsec)));
}

WallTime EventLoop::wall_now() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::system_clock::now());
}

Timer EventLoop::After(Duration delay, std::function<void()> callback) {
  return Timer(impl_->timers.Add(now() + std::max(delay, Duration::zero()),
                                 Duration::zero(), std::move(callback)));
}

Timer EventLoop::Every(Duration period, std::function<void()> callback) {
  const Duration step = std::max(period, Duration(1));
  return Timer(impl_->timers.Add(now() + step, step, std::move(callback)));
}

void EventLoop::Post(std::function<void()> callback) {
  impl_->posted.push_back(std::move(callback));
}

std::unique_ptr<EventLoop::FdWatch> EventLoop::WatchReadable(
    int fd, std::function<void()> callback) {
  return std::make_unique<H2oFdWatch>(impl_->loop, fd, std::move(callback));
}

void EventLoop::OnTerminationSignal(std::function<void()> callback) {
  impl_->OnSignals({SIGTERM, SIGINT}, *this, std::move(callback));
}

void EventLoop::OnReloadSignal(std::function<void()> callback) {
  impl_->OnSignals({SIGHUP}, *this, std::move(callback));
}

void EventLoop::Run() {
  impl_->stopped = false;
  while (!impl_->stopped) {
    impl_->RunPosted();
    impl_->timers.RunDue(now());
    if (impl_->stopped) {
      return;
    }
    RunSockets(impl_->WaitMilliseconds(now()));
  }
}

// A write that is started outside of h2o's round may complete at once, with its
// callback still pending. h2o must call it before it selects the sockets to
// poll. Otherwise h2o polls a socket without a pending write, and aborts the
// process on that event.
void EventLoop::RunSockets(int max_wait_ms) {
  h2o_timeout__do_post_callback(impl_->loop);
  const bool more = !impl_->posted.empty();
  h2o_evloop_run(impl_->loop, more ? 0 : max_wait_ms);
}

void EventLoop::Stop() { impl_->stopped = true; }

st_h2o_evloop_t* EventLoop::raw() const { return impl_->loop; }

}  // namespace oleander::io
