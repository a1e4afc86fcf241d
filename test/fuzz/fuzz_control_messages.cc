// Membership, profile and audit messages from a peer are either refused or
// decoded to a value whose encoding can be decoded again.
#include <cstddef>
#include <cstdint>
#include <cstdlib>

#include "io/load_codec.h"
#include "io/membership_codec.h"
#include "io/profile_codec.h"
#include "oleander/audit.h"
#include "oleander/profiles.h"

namespace {

namespace io = oleander::io;
namespace mesh = oleander::mesh;

void Require(bool holds) {
  if (!holds) {
    std::abort();
  }
}

void TryMembership(const uint8_t* data, size_t size) {
  mesh::MembershipMessage message;
  if (!message.ParseFromArray(data, static_cast<int>(size))) {
    return;
  }
  const auto frame = io::DecodeMembership(message);
  if (frame.ok()) {
    Require(io::DecodeMembership(io::EncodeMembership(*frame)).ok());
  }
}

void TryProfile(const uint8_t* data, size_t size) {
  mesh::ProfileMessage message;
  if (!message.ParseFromArray(data, static_cast<int>(size))) {
    return;
  }
  const auto profile = io::DecodeProfile(message);
  if (profile.ok()) {
    Require(io::DecodeProfile(io::EncodeProfile(*profile)).ok());
  }
}

void TryText(const uint8_t* data, size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  const auto value = oleander::DecodeProfileValue(text);
  if (value.ok()) {
    Require(oleander::DecodeProfileValue(oleander::EncodeProfileValue(*value))
                .ok());
  }
  const auto record = oleander::DecodeAuditRecord(text);
  if (record.ok()) {
    Require(
        oleander::DecodeAuditRecord(oleander::EncodeAuditRecord(*record)).ok());
  }
  (void)oleander::ParseProfile(text, "fuzz");
  (void)oleander::DifferencesOf(text, "{}");
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  TryMembership(data, size);
  TryProfile(data, size);
  TryText(data, size);
  return 0;
}
