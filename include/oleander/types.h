// Value types shared by all parts: time points, typed names, locations, and the
// descriptions of instances and servers.
//
// Parts never read a clock. Each function that needs the time takes a `Time`, a
// point on the caller's monotonic clock with microsecond resolution.
#ifndef OLEANDER_TYPES_H_
#define OLEANDER_TYPES_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace oleander {

using Duration = std::chrono::microseconds;

// Clock type for `Time`. It has no now(): the io layer and the tests own the
// clock.
struct MonotonicClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicClock, duration>;
};

using Time = MonotonicClock::time_point;

// A point on the wall clock, with microsecond resolution. Used in audit records
// and in output for operators, and for usage windows as read from the agreed
// clock (agreed_clock.h).
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

// The name of an object. The tag makes names of different kinds of objects
// distinct types, so that a server's name can't be passed as a workspace's.
//
//   ServerId server("stgo-a-engine-3");
//   Log(server.value());
template <typename Tag>
class Name {
 public:
  Name() = default;
  explicit Name(std::string value) : value_(std::move(value)) {}

  const std::string& value() const { return value_; }
  bool empty() const { return value_.empty(); }

  auto operator<=>(const Name&) const = default;

  template <typename H>
  friend H AbslHashValue(H state, const Name& name) {
    return H::combine(std::move(state), name.value_);
  }
  friend std::ostream& operator<<(std::ostream& out, const Name& name) {
    return out << name.value_;
  }

 private:
  std::string value_;
};

using InstanceId =
    Name<struct InstanceTag>;  // An entry instance, which runs oleanderd.
using ServerId = Name<struct ServerTag>;  // A backend server.
using ServiceId =
    Name<struct ServiceTag>;  // A pool of interchangeable backend servers.
using ProfileName = Name<struct ProfileTag>;    // A named profile.
using WorkspaceId = Name<struct WorkspaceTag>;  // A caller's workspace.
using RequestId = Name<struct RequestTag>;      // One accepted request.
using RegionId = Name<struct RegionTag>;
using DomainId = Name<struct DomainTag>;  // A failure domain.

// The region and failure domain of an instance or a backend server.
struct Location {
  RegionId region;
  DomainId domain;

  auto operator<=>(const Location&) const = default;
};

// An entry instance as other instances see it.
struct InstanceInfo {
  InstanceId id;
  Location location;
  std::string address;     // An IP address.
  uint16_t http_port = 0;  // The caller listener.
  uint16_t mesh_port = 0;

  auto operator<=>(const InstanceInfo&) const = default;
};

enum class ServerKind { kEngine, kPlain };
enum class Market { kOnDemand, kReclaimable };

// A backend server as described in the platform's server list.
struct ServerInfo {
  ServerId id;
  ServiceId service;
  ServerKind kind = ServerKind::kEngine;
  Location location;
  std::string address;  // An IP address.
  uint16_t port = 0;
  std::string machine_class;
  Market market = Market::kOnDemand;

  auto operator<=>(const ServerInfo&) const = default;
};

}  // namespace oleander

template <typename Tag>
struct std::hash<oleander::Name<Tag>> {
  size_t operator()(const oleander::Name<Tag>& name) const noexcept {
    return std::hash<std::string>{}(name.value());
  }
};

#endif  // OLEANDER_TYPES_H_
