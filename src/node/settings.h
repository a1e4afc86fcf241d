// The settings of one oleanderd process, read once when it starts.
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
  std::string address;  // An IP address.
  uint16_t port = 0;
  std::optional<TlsSettings> tls;
};

// A peer that is known from the start, or a peer whose address differs from
// that in the platform's list.
struct PeerSettings {
  InstanceInfo info;
  std::string public_key;  // CURVE key in Z85; empty without encryption.
};

struct MeshSettings {
  std::string address;
  uint16_t port = 0;
  std::string key_file;  // If empty, the mesh is not encrypted.
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
  // Limit on the total size of the stored requests and their answers.
  size_t max_request_bytes = size_t{128} << 20;
  size_t max_body_bytes = size_t{4} << 20;
  Duration drain_without_deadline = std::chrono::minutes(30);
  // The store's rate limit is divided by at least this number of instances.
  size_t expected_instances = 8;
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

// Parses and validates every field. The error lists all faults with file, path
// and value; `source` is the file name.
absl::StatusOr<Settings> ParseSettings(std::string_view text,
                                       std::string_view source);
absl::StatusOr<Settings> ReadSettings(const std::string& file);

}  // namespace oleander::node

#endif  // OLEANDER_NODE_SETTINGS_H_
