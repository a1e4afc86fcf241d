#include "node/settings.h"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <iterator>
#include <utility>

#include "io/text_file.h"
#include "oleander/field_reader.h"
#include "oleander/result_code.h"

namespace oleander::node {
namespace {

constexpr int64_t kMaxPort = 65535;
constexpr size_t kPublicKeyLength = 40;
constexpr int64_t kMebibyte = int64_t{1} << 20;

uint16_t ReadPort(FieldReader& reader, std::string_view key) {
  return static_cast<uint16_t>(
      reader.Integer(key, {.minimum = 1, .maximum = kMaxPort}));
}

bool IsIpAddress(const std::string& text) {
  in6_addr buffer;
  return inet_pton(AF_INET, text.c_str(), &buffer) == 1 ||
         inet_pton(AF_INET6, text.c_str(), &buffer) == 1;
}

std::string ReadAddress(FieldReader& reader, std::string_view key) {
  std::string address = reader.Text(key);
  if (!address.empty() && !IsIpAddress(address)) {
    reader.Problem(key, "an IP number");
  }
  return address;
}

Location ReadLocation(FieldReader& reader) {
  return {.region = RegionId(reader.Text("region")),
          .domain = DomainId(reader.Text("domain"))};
}

ListenerSettings ReadListener(FieldReader& reader) {
  ListenerSettings listener;
  listener.address = ReadAddress(reader, "address");
  listener.port = ReadPort(reader, "port");
  if (auto tls = reader.Object("tls")) {
    listener.tls =
        TlsSettings{.certificate_file = tls->Text("certificate_file"),
                    .key_file = tls->Text("key_file")};
    tls->Finish();
  }
  return listener;
}

PeerSettings ReadPeer(FieldReader& reader) {
  PeerSettings peer;
  peer.info.id = InstanceId(reader.Text("instance"));
  peer.info.location = ReadLocation(reader);
  peer.info.address = ReadAddress(reader, "address");
  peer.info.http_port = ReadPort(reader, "http_port");
  peer.info.mesh_port = ReadPort(reader, "mesh_port");
  peer.public_key = reader.Text("public_key", {.fallback = ""});
  if (!peer.public_key.empty() && peer.public_key.size() != kPublicKeyLength) {
    reader.Problem("public_key", "a CURVE public key of 40 characters");
  }
  reader.Finish();
  return peer;
}

MeshSettings ReadMesh(FieldReader& reader) {
  MeshSettings mesh;
  mesh.address = ReadAddress(reader, "address");
  mesh.port = ReadPort(reader, "port");
  mesh.key_file = reader.Text("key_file", {.fallback = ""});
  for (FieldReader& peer : reader.Objects("peers")) {
    mesh.peers.push_back(ReadPeer(peer));
  }
  reader.Finish();
  return mesh;
}

PlatformSettings ReadPlatform(FieldReader& reader) {
  using std::chrono::milliseconds;
  const PlatformSettings defaults;
  PlatformSettings platform;
  platform.address = ReadAddress(reader, "address");
  platform.port = ReadPort(reader, "port");
  platform.instance_poll = reader.Milliseconds(
      "instance_poll_ms",
      {.fallback = defaults.instance_poll, .minimum = milliseconds(100)});
  platform.notice_poll = reader.Milliseconds(
      "notice_poll_ms",
      {.fallback = defaults.notice_poll, .minimum = milliseconds(50)});
  reader.Finish();
  return platform;
}

LimitSettings ReadLimits(FieldReader& reader) {
  const LimitSettings defaults;
  LimitSettings limits;
  limits.max_requests = static_cast<size_t>(reader.Integer(
      "max_requests",
      {.fallback = static_cast<int64_t>(defaults.max_requests), .minimum = 1}));
  limits.max_request_bytes =
      static_cast<size_t>(reader.Integer(
          "max_request_mib",
          {.fallback =
               static_cast<int64_t>(defaults.max_request_bytes) / kMebibyte,
           .minimum = 1,
           .maximum = int64_t{1} << 20})) *
      kMebibyte;
  limits.max_body_bytes = static_cast<size_t>(
      reader.Integer("max_body_bytes",
                     {.fallback = static_cast<int64_t>(defaults.max_body_bytes),
                      .minimum = 1024,
                      .maximum = 64 * kMebibyte}));
  limits.drain_without_deadline =
      reader.Milliseconds("drain_without_deadline_ms",
                          {.fallback = defaults.drain_without_deadline});
  limits.expected_instances = static_cast<size_t>(reader.Integer(
      "expected_instances",
      {.fallback = static_cast<int64_t>(defaults.expected_instances),
       .minimum = 1,
       .maximum = 100000}));
  reader.Finish();
  return limits;
}

io::LogLevel ReadLogLevel(FieldReader& reader) {
  io::LogLevel level = io::LogLevel::kInfo;
  const std::string text = reader.Text(
      "log_level",
      {.fallback = "info", .one_of = {"debug", "info", "warning", "error"}});
  io::ParseLogLevel(text, level);
  return level;
}

void ReadSections(FieldReader& root, Settings& settings) {
  if (auto callers = root.Object("callers", /*required=*/true)) {
    settings.callers = ReadListener(*callers);
    callers->Finish();
  }
  if (auto operators = root.Object("operators", /*required=*/true)) {
    settings.operators = ReadListener(*operators);
    settings.operator_token_file = operators->Text("token_file");
    operators->Finish();
  }
  if (auto mesh = root.Object("mesh", /*required=*/true)) {
    settings.mesh = ReadMesh(*mesh);
  }
  if (auto platform = root.Object("platform", /*required=*/true)) {
    settings.platform = ReadPlatform(*platform);
  }
  if (auto limits = root.Object("limits")) {
    settings.limits = ReadLimits(*limits);
  }
}

}  // namespace

InstanceInfo Settings::SelfInfo() const {
  return {.id = instance,
          .location = location,
          .address = mesh.address,
          .http_port = callers.port,
          .mesh_port = mesh.port};
}

absl::StatusOr<Settings> ParseSettings(std::string_view text,
                                       std::string_view source) {
  auto document =
      ParseJsonWithComments(text, source, ResultCode::kSettingsUnreadable);
  if (!document.ok()) {
    return document.status();
  }
  FieldProblems problems;
  FieldReader root(*document, "", problems);
  Settings settings;
  settings.instance = InstanceId(root.Text("instance"));
  settings.location = ReadLocation(root);
  settings.log_level = ReadLogLevel(root);
  ReadSections(root, settings);
  root.Finish();
  if (!problems.empty()) {
    return problems.ToStatus(ResultCode::kSettingsInvalid, source);
  }
  return settings;
}

absl::StatusOr<Settings> ReadSettings(const std::string& file) {
  auto text = io::ReadTextFile(file);
  if (!text.ok()) {
    return text.status();
  }
  return ParseSettings(*text, file);
}

}  // namespace oleander::node
