// A stand-in for a network link: a TCP relay that can delay bytes, limit the
// rate, cut connections and drop bytes silently. docs/operators/standins.md
// lists its flags and faults.
//
// The sockets are in a separate epoll set, which the event loop watches as one
// file descriptor.
#include <arpa/inet.h>
#include <fcntl.h>
#include <gflags/gflags.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <deque>
#include <iterator>
#include <memory>
#include <ranges>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "io/log.h"
#include "standins/shared_standin.h"

DEFINE_string(address, "127.0.0.1", "IP address of the control listener.");
DEFINE_uint32(port, 9200, "Port of the control listener.");
DEFINE_string(id, "link", "Name in logs.");
DEFINE_string(relays, "",
              "LISTEN_ADDRESS:PORT=TARGET_ADDRESS:PORT, joined by commas.");
DEFINE_double(delay_ms, 0, "One-way delay.");
DEFINE_double(megabits_per_s, 0, "Shared rate of all relays; 0 is unlimited.");

namespace oleander::standins {
namespace {

constexpr size_t kReadBytes = size_t{64} << 10;
constexpr size_t kMaxQueuedBytes = size_t{1} << 20;
constexpr int kBacklog = 512;

class FileDescriptor {
 public:
  explicit FileDescriptor(int fd) : fd_(fd) {}
  FileDescriptor(const FileDescriptor&) = delete;
  FileDescriptor& operator=(const FileDescriptor&) = delete;
  ~FileDescriptor() {
    if (fd_ >= 0) {
      close(fd_);
    }
  }
  int get() const { return fd_; }

 private:
  int fd_;
};

struct Endpoint {
  std::string address;
  uint16_t port = 0;
};

struct RelayRule {
  Endpoint listen;
  Endpoint target;
};

Endpoint ParseEndpoint(std::string_view text) {
  const size_t colon = std::min(text.rfind(':'), text.size() - 1);
  return {.address = std::string(text.substr(0, colon)),
          .port = static_cast<uint16_t>(std::strtoul(
              std::string(text.substr(colon + 1)).c_str(), nullptr, 10))};
}

std::vector<RelayRule> ParseRelays(std::string_view text) {
  std::vector<RelayRule> rules;
  while (!text.empty()) {
    const size_t comma = std::min(text.find(','), text.size());
    const std::string_view item = text.substr(0, comma);
    const size_t equals = std::min(item.find('='), item.size() - 1);
    rules.push_back({.listen = ParseEndpoint(item.substr(0, equals)),
                     .target = ParseEndpoint(item.substr(equals + 1))});
    text.remove_prefix(std::min(comma + 1, text.size()));
  }
  return rules;
}

sockaddr_in SocketAddress(const Endpoint& endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.port);
  inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
  return address;
}

const sockaddr* Raw(const sockaddr_in& address) {
  return reinterpret_cast<const sockaddr*>(&address);
}

// Bytes in transit, to be written no earlier than `due`.
struct Packet {
  Time due;
  std::string bytes;
};

// One direction of a relayed connection.
struct Lane {
  size_t direction = 0;  // 0 is from the caller to the target.
  int from = -1;
  int to = -1;
  std::deque<Packet> packets;
  size_t queued = 0;
  bool ended = false;  // `from` has closed its sending side.
  bool shut = false;   // The sending side towards `to` is shut down.
  bool read_paused = false;
};

// A relayed connection: the caller's socket and the socket to the target.
struct Pair {
  std::unique_ptr<FileDescriptor> caller;
  std::unique_ptr<FileDescriptor> target;
  std::array<Lane, 2> lanes;
  bool silent = false;  // Delivers no more bytes, but stays open.
  bool broken = false;  // To be removed.
};

class Link {
 public:
  explicit Link(io::EventLoop& loop);
  bool Listen();
  int Run() { return standin_.Run(); }

 private:
  void OnReady();
  void OnEvent(int fd, uint32_t events);
  void Accept(int listener, const Endpoint& target);
  void Watch(int fd, uint32_t events, int operation) const;
  void ReadLane(Pair& pair, Lane& lane);
  void QueueBytes(Lane& lane, std::string bytes);
  void FlushLane(Pair& pair, Lane& lane);
  void Flush(Pair& pair);
  void FlushAll();
  void Remove(const std::shared_ptr<Pair>& pair);
  void ApplyFaults();
  Duration Delay() const;
  double BytesPerSecond() const;
  Json Records() const;

  Standin standin_;
  FileDescriptor epoll_{epoll_create1(EPOLL_CLOEXEC)};
  std::unique_ptr<io::EventLoop::FdWatch> watch_;
  std::vector<std::unique_ptr<FileDescriptor>> listeners_;
  std::unordered_map<int, Endpoint> targets_;             // By listening fd.
  std::unordered_map<int, std::shared_ptr<Pair>> pairs_;  // By either fd.
  std::array<Time, 2> line_free_at_{};  // When the line is free, per direction.
  std::array<uint64_t, 2> bytes_{};
  uint64_t connections_ = 0;
  uint64_t lost_bytes_ = 0;
  io::Timer flush_timer_;
};

Link::Link(io::EventLoop& loop)
    : standin_(loop, FLAGS_address, static_cast<uint16_t>(FLAGS_port)) {
  constexpr auto kFlushPeriod = std::chrono::milliseconds(1);
  watch_ = loop.WatchReadable(epoll_.get(), [this] { OnReady(); });
  flush_timer_ = loop.Every(kFlushPeriod, [this] { FlushAll(); });
  standin_.OnFault([this] { ApplyFaults(); });
  standin_.OnRecords([this] { return Records(); });
}

bool Link::Listen() {
  for (const RelayRule& rule : ParseRelays(FLAGS_relays)) {
    auto listener = std::make_unique<FileDescriptor>(
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const int on = 1;
    setsockopt(listener->get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = SocketAddress(rule.listen);
    if (bind(listener->get(), Raw(address), sizeof(address)) != 0 ||
        listen(listener->get(), kBacklog) != 0) {
      io::Log(io::LogLevel::kError, "link.listen_failed",
              {{"address", rule.listen.address},
               {"port", rule.listen.port},
               {"error", std::strerror(errno)}});
      return false;
    }
    Watch(listener->get(), EPOLLIN, EPOLL_CTL_ADD);
    targets_[listener->get()] = rule.target;
    listeners_.push_back(std::move(listener));
  }
  return true;
}

void Link::Watch(int fd, uint32_t events, int operation) const {
  epoll_event event{};
  event.events = events;
  event.data.fd = fd;
  epoll_ctl(epoll_.get(), operation, fd, &event);
}

Duration Link::Delay() const {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(
          standin_.faults().Number("delay_ms", FLAGS_delay_ms)));
}

double Link::BytesPerSecond() const {
  constexpr double kBytesPerMegabit = 1e6 / 8;
  return standin_.faults().Number("megabits_per_s", FLAGS_megabits_per_s) *
         kBytesPerMegabit;
}

void Link::ApplyFaults() {
  const Faults& faults = standin_.faults();
  std::vector<std::shared_ptr<Pair>> open;
  std::ranges::copy(std::views::values(pairs_), std::back_inserter(open));
  for (const auto& pair : open) {
    if (faults.Flag("silence")) {
      pair->silent = true;
    }
    if (faults.Flag("cut")) {
      Remove(pair);
    }
  }
}

void Link::OnReady() {
  constexpr int kMaxEvents = 256;
  std::array<epoll_event, kMaxEvents> events;
  int count = 0;
  do {
    count = epoll_wait(epoll_.get(), events.data(), kMaxEvents, 0);
    for (int index = 0; index < count; ++index) {
      OnEvent(events[index].data.fd, events[index].events);
    }
  } while (count == kMaxEvents);
}

void Link::OnEvent(int fd, uint32_t events) {
  if (const auto listener = targets_.find(fd); listener != targets_.end()) {
    Accept(fd, listener->second);
    return;
  }
  const auto found = pairs_.find(fd);
  if (found == pairs_.end()) {
    return;
  }
  const std::shared_ptr<Pair> pair = found->second;
  Lane& lane = pair->lanes[fd == pair->caller->get() ? 0 : 1];
  if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0) {
    ReadLane(*pair, lane);
  }
  Flush(*pair);
  if (pair->broken) {
    Remove(pair);
  }
}

void Link::Accept(int listener, const Endpoint& target) {
  while (true) {
    const int fd =
        accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
      return;
    }
    auto pair = std::make_shared<Pair>();
    pair->caller = std::make_unique<FileDescriptor>(fd);
    if (standin_.faults().Flag("cut")) {
      continue;
    }
    pair->target = std::make_unique<FileDescriptor>(
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const int to = pair->target->get();
    const sockaddr_in address = SocketAddress(target);
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(to, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (connect(to, Raw(address), sizeof(address)) != 0 &&
        errno != EINPROGRESS) {
      continue;
    }
    ++connections_;
    pair->silent = standin_.faults().Flag("silence_new");
    pair->lanes[0] = {.direction = 0, .from = fd, .to = to, .packets = {}};
    pair->lanes[1] = {.direction = 1, .from = to, .to = fd, .packets = {}};
    pairs_[fd] = pair;
    pairs_[to] = pair;
    Watch(fd, EPOLLIN, EPOLL_CTL_ADD);
    Watch(to, EPOLLIN, EPOLL_CTL_ADD);
  }
}

void Link::QueueBytes(Lane& lane, std::string bytes) {
  const Time now = standin_.loop().now();
  Time& free = line_free_at_[lane.direction];
  free = std::max(free, now);
  if (const double rate = BytesPerSecond(); rate > 0) {
    free += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
        static_cast<double>(bytes.size()) / rate));
  }
  bytes_[lane.direction] += bytes.size();
  lane.queued += bytes.size();
  lane.packets.push_back({.due = free + Delay(), .bytes = std::move(bytes)});
}

void Link::ReadLane(Pair& pair, Lane& lane) {
  std::array<char, kReadBytes> buffer;
  while (lane.queued < kMaxQueuedBytes) {
    const ssize_t count = recv(lane.from, buffer.data(), buffer.size(), 0);
    if (count > 0 && pair.silent) {
      lost_bytes_ += static_cast<uint64_t>(count);
      continue;
    }
    if (count > 0) {
      QueueBytes(lane, std::string(buffer.data(), static_cast<size_t>(count)));
      continue;
    }
    if (count == 0) {
      lane.ended = true;
      Watch(lane.from, 0, EPOLL_CTL_MOD);
    } else if (errno != EAGAIN && errno != EWOULDBLOCK) {
      pair.broken = true;
    }
    return;
  }
  lane.read_paused = true;
  Watch(lane.from, 0, EPOLL_CTL_MOD);
}

void Link::FlushLane(Pair& pair, Lane& lane) {
  const Time now = standin_.loop().now();
  while (!lane.packets.empty() && lane.packets.front().due <= now) {
    std::string& bytes = lane.packets.front().bytes;
    const ssize_t count =
        send(lane.to, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (count < 0) {
      pair.broken |= errno != EAGAIN && errno != EWOULDBLOCK &&
                     errno != ENOTCONN && errno != EINPROGRESS;
      return;
    }
    lane.queued -= static_cast<size_t>(count);
    bytes.erase(0, static_cast<size_t>(count));
    if (!bytes.empty()) {
      return;
    }
    lane.packets.pop_front();
  }
  if (lane.ended && lane.packets.empty() && !lane.shut) {
    lane.shut = true;
    shutdown(lane.to, SHUT_WR);
  }
  if (lane.read_paused && lane.queued < kMaxQueuedBytes / 2 && !lane.ended) {
    lane.read_paused = false;
    Watch(lane.from, EPOLLIN, EPOLL_CTL_MOD);
  }
}

void Link::Flush(Pair& pair) {
  if (pair.silent) {
    // Neither bytes nor a close of one side reach the other side. The sockets
    // are closed when both sides have closed.
    pair.broken |= pair.lanes[0].ended && pair.lanes[1].ended;
    return;
  }
  for (Lane& lane : pair.lanes) {
    FlushLane(pair, lane);
  }
  pair.broken |= pair.lanes[0].shut && pair.lanes[1].shut;
}

void Link::FlushAll() {
  std::vector<std::shared_ptr<Pair>> open;
  for (const auto& [fd, pair] : pairs_) {
    if (fd == pair->caller->get()) {
      open.push_back(pair);
    }
  }
  for (const auto& pair : open) {
    Flush(*pair);
    if (pair->broken) {
      Remove(pair);
    }
  }
}

void Link::Remove(const std::shared_ptr<Pair>& pair) {
  if (!pair->caller) {
    return;
  }
  pairs_.erase(pair->caller->get());
  pairs_.erase(pair->target->get());
  pair->caller.reset();
  pair->target.reset();
}

Json Link::Records() const {
  return {{"id", FLAGS_id},
          {"connections", connections_},
          {"open", pairs_.size() / 2},
          {"bytes", bytes_[0] + bytes_[1]},
          {"lost_bytes", lost_bytes_}};
}

}  // namespace
}  // namespace oleander::standins

int main(int argc, char** argv) {
  gflags::SetUsageMessage("Stands in for a network link in experiments.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  oleander::io::SetLogInstance(FLAGS_id);
  oleander::io::EventLoop loop;
  oleander::standins::Link link(loop);
  if (!link.Listen()) {
    return 1;
  }
  return link.Run();
}
