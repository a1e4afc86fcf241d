#include "io/mesh_codec.h"

#include <fmt/format.h>

#include <limits>

#include "io/mesh.h"
#include "oleander/result_code.h"

namespace oleander::io {
namespace {

using mesh::Envelope;

absl::Status BadFrame(std::string_view what, size_t bytes) {
  return MakeError(ResultCode::kMeshBadFrame,
                   fmt::format("A mesh frame of {} bytes {}.", bytes, what));
}

}  // namespace

size_t MeshClassOf(const Envelope& message) {
  switch (message.body_case()) {
    case Envelope::kRequest:
      return 1;
    case Envelope::kLedger:
      return 2;
    case Envelope::kProfile:
      return 3;
    case Envelope::kMembership:
      return 4;
    case Envelope::kLoad:
      return 5;
    case Envelope::kStoreAsk:
      return 6;
    case Envelope::kStoreTell:
      return 7;
    case Envelope::kQuotaAsk:
      return 8;
    case Envelope::kQuotaGrant:
      return 9;
    case Envelope::kUsageTold:
      return 10;
    case Envelope::kPlaceAsk:
      return 11;
    case Envelope::kPlaceTell:
      return 12;
    case Envelope::kPlaceNews:
      return 13;
    case Envelope::kPlaceWaits:
      return 14;
    case Envelope::kCrashNews:
      return 15;
    case Envelope::kConfigNews:
      return 16;
    case Envelope::kConfigAsk:
      return 17;
    case Envelope::kConfigTell:
      return 18;
    case Envelope::kRolloutReport:
      return 19;
    case Envelope::kRolloutTell:
      return 20;
    case Envelope::BODY_NOT_SET:
      break;
  }
  return 0;
}

bool CarriesWork(const Envelope& message) {
  return message.has_request() || message.has_ledger();
}

std::string EncodeEnvelope(const Envelope& message) {
  return message.SerializeAsString();
}

absl::StatusOr<Envelope> DecodeEnvelope(std::string_view bytes) {
  Envelope message;
  if (bytes.size() > static_cast<size_t>(std::numeric_limits<int>::max()) ||
      !message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return BadFrame("does not parse", bytes.size());
  }
  if (message.version() != kMeshVersion) {
    return MakeError(
        ResultCode::kMeshWrongVersion,
        fmt::format("A mesh message from \"{}\" has version {}; this program "
                    "supports version {}.",
                    message.from(), message.version(), kMeshVersion));
  }
  if (message.from().empty()) {
    return BadFrame("has no sender", bytes.size());
  }
  if (message.body_case() == Envelope::BODY_NOT_SET) {
    return BadFrame("has no body", bytes.size());
  }
  return message;
}

}  // namespace oleander::io
