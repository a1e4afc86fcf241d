#include "io/membership_codec.h"

#include <fmt/format.h>

#include <limits>
#include <utility>

#include "io/load_codec.h"
#include "oleander/result_code.h"

namespace oleander::io {
namespace {

constexpr uint32_t kLastKind =
    static_cast<uint32_t>(MembershipKind::kSyncReply);
constexpr uint32_t kLastClaim = static_cast<uint32_t>(MemberClaim::kDoubt);

void EncodeUpdate(const MemberUpdate& update, mesh::MemberUpdate& message) {
  message.set_id(update.id.value());
  message.set_claim(static_cast<uint32_t>(update.claim));
  message.set_incarnation(update.incarnation);
  if (!update.info.has_value()) {
    return;
  }
  mesh::MemberInfo& info = *message.mutable_info();
  info.set_region(update.info->location.region.value());
  info.set_domain(update.info->location.domain.value());
  info.set_address(update.info->address);
  info.set_http_port(update.info->http_port);
  info.set_mesh_port(update.info->mesh_port);
}

bool IsPort(uint32_t port) {
  return port <= std::numeric_limits<uint16_t>::max();
}

absl::StatusOr<MemberUpdate> DecodeUpdate(const mesh::MemberUpdate& message) {
  const bool valid = !message.id().empty() && message.claim() <= kLastClaim &&
                     IsPort(message.info().http_port()) &&
                     IsPort(message.info().mesh_port());
  if (!valid) {
    return MakeError(
        ResultCode::kMeshBadFrame,
        fmt::format("A membership update about \"{}\" has claim {} and ports "
                    "{} and {}.",
                    message.id(), message.claim(), message.info().http_port(),
                    message.info().mesh_port()));
  }
  MemberUpdate update;
  update.id = InstanceId(message.id());
  update.claim = static_cast<MemberClaim>(message.claim());
  update.incarnation = message.incarnation();
  if (message.has_info()) {
    const mesh::MemberInfo& info = message.info();
    update.info =
        InstanceInfo{.id = update.id,
                     .location = {.region = RegionId(info.region()),
                                  .domain = DomainId(info.domain())},
                     .address = info.address(),
                     .http_port = static_cast<uint16_t>(info.http_port()),
                     .mesh_port = static_cast<uint16_t>(info.mesh_port())};
  }
  return update;
}

}  // namespace

mesh::MembershipMessage EncodeMembership(const MembershipFrame& frame) {
  const MembershipMessage& membership = frame.membership;
  mesh::MembershipMessage message;
  message.set_kind(static_cast<uint32_t>(membership.kind));
  message.set_sequence(membership.sequence);
  message.set_incarnation(membership.incarnation);
  message.set_leaving(membership.leaving);
  message.set_table_digest(membership.table_digest);
  message.set_target(membership.target.value());
  for (const MemberUpdate& update : membership.updates) {
    EncodeUpdate(update, *message.add_updates());
  }
  if (!frame.load.empty() || frame.load.roster != 0) {
    *message.mutable_load() = EncodeLoad(frame.load);
  }
  if (frame.profiles.highest != 0) {
    message.mutable_profiles()->set_highest(frame.profiles.highest);
    message.mutable_profiles()->set_hash(frame.profiles.hash);
  }
  return message;
}

absl::StatusOr<MembershipFrame> DecodeMembership(
    const mesh::MembershipMessage& message) {
  if (message.kind() > kLastKind) {
    return MakeError(
        ResultCode::kMeshBadFrame,
        fmt::format("A membership message has kind {}.", message.kind()));
  }
  MembershipFrame frame;
  MembershipMessage& membership = frame.membership;
  membership.kind = static_cast<MembershipKind>(message.kind());
  membership.sequence = message.sequence();
  membership.incarnation = message.incarnation();
  membership.leaving = message.leaving();
  membership.table_digest = message.table_digest();
  membership.target = InstanceId(message.target());
  for (const mesh::MemberUpdate& encoded : message.updates()) {
    auto update = DecodeUpdate(encoded);
    if (!update.ok()) {
      return update.status();
    }
    membership.updates.push_back(*std::move(update));
  }
  if (message.has_load()) {
    auto load = DecodeLoad(message.load());
    if (!load.ok()) {
      return load.status();
    }
    frame.load = *std::move(load);
  }
  frame.profiles = {.highest = message.profiles().highest(),
                    .hash = message.profiles().hash()};
  return frame;
}

}  // namespace oleander::io
