// The settings of one oleanderd process, read once at the start.
//
// docs/operators/oleanderd.md describes every field.
#ifndef OLEANDER_NODE_SETTINGS_H_
#define OLEANDER_NODE_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "io/log.h"
#include "oleander/types.h"

namespace oleander::node {

struct TlsSettings {
  std::string certificate_file;
  std::string key_file;
};

struct ListenerSettings {
  std::string address;  // An IP number.
  uint16_t port = 0;
  std::optional<TlsSettings> tls;
};

// A peer that is known from the start, or one that is reached by another
// address than the platform's list gives.
struct PeerSettings {
  InstanceInfo info;
  std::string public_key;  // CURVE, Z85; empty when the mesh is in the clear.
};

struct MeshSettings {
  std::string address;
  uint16_t port = 0;
  std::string key_file;  // Empty: the mesh is in the clear.
  std::vector<PeerSettings> peers;
};

struct PlatformSettings {
  std::string address;
  uint16_t port = 0;
  Duration instance_poll = std::chrono::seconds(2);
  Duration notice_poll = std::chrono::milliseconds(500);
};

struct LimitSettings {
  size_t max_requests = 20000;
  size_t max_request_bytes = size_t{128}
                             << 20;  // Of held requests and their answers.
  size_t max_body_bytes = size_t{4} << 20;
  Duration drain_without_deadline = std::chrono::minutes(30);
  size_t expected_instances = 8;  // Shares of the store's rate are cut by it.
};

struct Settings {
  InstanceId instance;
  Location location;
  ListenerSettings callers;
  ListenerSettings operators;
  std::string operator_token_file;
  MeshSettings mesh;
  PlatformSettings platform;
  LimitSettings limits;
  io::LogLevel log_level = io::LogLevel::kInfo;

  InstanceInfo SelfInfo() const;
};

// Reads and checks every field; the error lists all faults with file, path and
// value.
absl::StatusOr<Settings> ParseSettings(std::string_view text,
                                       std::string_view source);
absl::StatusOr<Settings> ReadSettings(const std::string& file);

}  // namespace oleander::node

#endif  // OLEANDER_NODE_SETTINGS_H_
