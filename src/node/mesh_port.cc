#include "node/mesh_port.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "io/ledger_codec.h"
#include "io/load_codec.h"
#include "io/log.h"
#include "io/profile_codec.h"
#include "io/request_codec.h"
#include "io/text_file.h"
#include "oleander/field_reader.h"
#include "oleander/result_code.h"

namespace oleander::node {
namespace {

constexpr size_t kKeyLength = 40;
// The mesh's own heartbeats cost about 190 bytes per second and connection at
// one heartbeat per second. A fleet with more instances than this has more
// connections; it uses slow heartbeats and relies on the probes of the
// membership protocol to find unresponsive connections first. See
// docs/CAPACITY.md.
constexpr size_t kMaxFastHeartbeatInstances = 72;
constexpr Duration kSlowHeartbeat = std::chrono::seconds(10);
constexpr Duration kSlowHeartbeatTimeout = std::chrono::seconds(25);

io::MeshOptions OptionsOf(const Settings& settings, io::MeshKeys keys) {
  io::MeshOptions options;
  options.id = settings.instance;
  options.address = settings.mesh.address;
  options.port = settings.mesh.port;
  options.keys = std::move(keys);
  if (settings.limits.expected_instances > kMaxFastHeartbeatInstances) {
    options.heartbeat_interval = kSlowHeartbeat;
    options.peer_timeout = kSlowHeartbeatTimeout;
  }
  return options;
}

std::string ReadKey(FieldReader& reader, const std::string& field) {
  std::string key = reader.Text(field);
  if (key.size() != kKeyLength) {
    reader.Problem(field, "a CURVE key of 40 characters");
  }
  return key;
}

}  // namespace

absl::StatusOr<io::MeshKeys> ReadMeshKeys(const std::string& file) {
  io::MeshKeys keys;
  if (file.empty()) {
    return keys;
  }
  auto text = io::ReadTextFile(file);
  if (!text.ok()) {
    return text.status();
  }
  auto document =
      ParseJsonWithComments(*text, file, ResultCode::kSettingsUnreadable);
  if (!document.ok()) {
    return document.status();
  }
  FieldProblems problems;
  FieldReader root(*document, "", problems);
  keys.public_key = ReadKey(root, "public_key");
  keys.secret_key = ReadKey(root, "secret_key");
  keys.allowed_public_keys = root.Texts("allowed_public_keys");
  root.Finish();
  if (!problems.empty()) {
    return problems.ToStatus(ResultCode::kSettingsInvalid, file);
  }
  return keys;
}

MeshPort::MeshPort(io::EventLoop& loop, const Settings& settings,
                   io::MeshKeys keys, Metrics& metrics, Receivers receivers)
    : metrics_(metrics),
      receivers_(std::move(receivers)),
      mesh_(loop, OptionsOf(settings, std::move(keys)),
            [this](const InstanceId& from, const mesh::Envelope& envelope) {
              Receive(from, envelope);
            }) {}

void MeshPort::SetPeers(const std::vector<EntryPeer>& peers) {
  absl::flat_hash_map<InstanceId, EntryPeer> wanted;
  for (const EntryPeer& peer : peers) {
    wanted.emplace(peer.info.id, peer);
    mesh_.SetPeer(peer.info.id, peer.info.address, peer.info.mesh_port,
                  peer.public_key);
  }
  for (const auto& [id, peer] : peers_) {
    if (!wanted.contains(id)) {
      mesh_.RemovePeer(id);
    }
  }
  peers_ = std::move(wanted);
}

void MeshPort::Reset(const InstanceId& peer) {
  const auto found = peers_.find(peer);
  if (found != peers_.end()) {
    mesh_.RemovePeer(peer);
    mesh_.SetPeer(peer, found->second.info.address,
                  found->second.info.mesh_port, found->second.public_key);
  }
}

void MeshPort::Send(const InstanceId& to, const RequestMessage& message) {
  mesh::Envelope envelope;
  *envelope.mutable_request() = io::EncodeRequestMessage(message);
  SendEnvelope(to, std::move(envelope));
}

void MeshPort::Send(const InstanceId& to, const LedgerMessage& message) {
  mesh::Envelope envelope;
  *envelope.mutable_ledger() = io::EncodeLedgerMessage(message);
  SendEnvelope(to, std::move(envelope));
}

void MeshPort::Send(const InstanceId& to, const ProfileMessage& message) {
  mesh::Envelope envelope;
  *envelope.mutable_profile() = io::EncodeProfile(message);
  SendEnvelope(to, std::move(envelope));
}

void MeshPort::Send(const InstanceId& to, const io::MembershipFrame& frame) {
  mesh::Envelope envelope;
  *envelope.mutable_membership() = io::EncodeMembership(frame);
  SendEnvelope(to, std::move(envelope));
}

void MeshPort::Send(const InstanceId& to, const LoadUpdate& update) {
  mesh::Envelope envelope;
  *envelope.mutable_load() = io::EncodeLoad(update);
  SendEnvelope(to, std::move(envelope));
}

void MeshPort::Send(const InstanceId& to, const WriteMark& mark) {
  mesh::Envelope envelope;
  mesh::WriteMark* encoded = envelope.mutable_load()->add_marks();
  encoded->set_service(mark.service.value());
  encoded->set_workspace(mark.workspace.value());
  encoded->set_server(mark.server.value());
  encoded->set_version(mark.version);
  SendEnvelope(to, std::move(envelope));
}

// The mesh is best effort. A message to a peer whose address is not known yet
// is treated like a lost message: the sender repeats it.
void MeshPort::SendEnvelope(const InstanceId& to, mesh::Envelope envelope) {
  const absl::Status status = mesh_.Send(to, std::move(envelope));
  if (!status.ok()) {
    io::Log(io::LogLevel::kDebug, "mesh.not_sent",
            {{"peer", to.value()}, {"code", static_cast<int>(CodeOf(status))}});
  }
}

template <typename Message, typename Receiver>
void MeshPort::Deliver(const InstanceId& from,
                       const absl::StatusOr<Message>& message,
                       const Receiver& receiver) {
  if (message.ok()) {
    receiver(from, *message);
    return;
  }
  metrics_.CountDroppedEvents("mesh_bad_frame", 1);
  io::Log(io::LogLevel::kWarning, "mesh.bad_message",
          {{"peer", from.value()},
           {"code", static_cast<int>(CodeOf(message.status()))},
           {"message", std::string(message.status().message())}});
}

void MeshPort::ReceiveLoad(const InstanceId& from,
                           const mesh::LoadMessage& message) {
  for (const mesh::WriteMark& mark : message.marks()) {
    receivers_.write(from, {.service = ServiceId(mark.service()),
                            .workspace = WorkspaceId(mark.workspace()),
                            .server = ServerId(mark.server()),
                            .version = mark.version()});
  }
  if (!message.entries().empty() || !message.summaries().empty()) {
    Deliver(from, io::DecodeLoad(message), receivers_.load);
  }
}

void MeshPort::Receive(const InstanceId& from, const mesh::Envelope& envelope) {
  switch (envelope.body_case()) {
    case mesh::Envelope::kRequest:
      Deliver(from, io::DecodeRequestMessage(envelope.request()),
              receivers_.request);
      break;
    case mesh::Envelope::kLedger:
      Deliver(from, io::DecodeLedgerMessage(envelope.ledger()),
              receivers_.ledger);
      break;
    case mesh::Envelope::kProfile:
      Deliver(from, io::DecodeProfile(envelope.profile()), receivers_.profile);
      break;
    case mesh::Envelope::kMembership:
      Deliver(from, io::DecodeMembership(envelope.membership()),
              receivers_.membership);
      break;
    case mesh::Envelope::kLoad:
      ReceiveLoad(from, envelope.load());
      break;
    // Sent by the entry instances of src/entry, which use a separate mesh.
    case mesh::Envelope::kQuotaAsk:
    case mesh::Envelope::kQuotaGrant:
    case mesh::Envelope::kStoreAsk:
    case mesh::Envelope::kStoreTell:
    case mesh::Envelope::kUsageTold:
    case mesh::Envelope::kPlaceAsk:
    case mesh::Envelope::kPlaceTell:
    case mesh::Envelope::kPlaceNews:
    case mesh::Envelope::kPlaceWaits:
    case mesh::Envelope::kCrashNews:
    case mesh::Envelope::kConfigNews:
    case mesh::Envelope::kConfigAsk:
    case mesh::Envelope::kConfigTell:
    case mesh::Envelope::kRolloutReport:
    case mesh::Envelope::kRolloutTell:
      metrics_.CountDroppedEvents("mesh_of_platform", 1);
      break;
    case mesh::Envelope::BODY_NOT_SET:
      metrics_.CountDroppedEvents("mesh_empty", 1);
      break;
  }
}

}  // namespace oleander::node
