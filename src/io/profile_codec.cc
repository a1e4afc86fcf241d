#include "io/profile_codec.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

#include "oleander/result_code.h"

namespace oleander::io {
namespace {

constexpr uint32_t kLastKind =
    static_cast<uint32_t>(ProfileMessageKind::kDomainAnswer);

void EncodeRevisionId(const ProfileRevisionId& id, mesh::ProfileHave& message) {
  message.set_name(id.name.value());
  message.set_revision(id.revision);
}

ProfileRevisionId DecodeRevisionId(const mesh::ProfileHave& message) {
  return {.name = ProfileName(message.name()), .revision = message.revision()};
}

void EncodeRevision(const ProfileRevision& revision,
                    mesh::ProfileRevision& message) {
  message.set_name(revision.name.value());
  message.set_revision(revision.revision);
  message.set_version(revision.version);
  message.set_value(revision.value);
}

ProfileRevision DecodeRevision(const mesh::ProfileRevision& message) {
  return {.name = ProfileName(message.name()),
          .revision = message.revision(),
          .version = message.version(),
          .value = message.value()};
}

void EncodeDomain(const DomainInForce& domain, mesh::DomainInForce& message) {
  message.set_domain(domain.domain.value());
  message.set_in_force(domain.in_force);
  message.set_members(domain.members);
  for (const InstanceId& id : domain.behind) {
    message.add_behind(id.value());
  }
}

DomainInForce DecodeDomain(const mesh::DomainInForce& message) {
  DomainInForce domain;
  domain.domain = DomainId(message.domain());
  domain.in_force = message.in_force();
  domain.members = message.members();
  std::ranges::transform(message.behind(), std::back_inserter(domain.behind),
                         [](const std::string& id) { return InstanceId(id); });
  return domain;
}

}  // namespace

mesh::ProfileMessage EncodeProfile(const ProfileMessage& profile) {
  mesh::ProfileMessage message;
  message.set_kind(static_cast<uint32_t>(profile.kind));
  message.mutable_digest()->set_highest(profile.digest.highest);
  message.mutable_digest()->set_hash(profile.digest.hash);
  for (const ProfileRevisionId& id : profile.known) {
    EncodeRevisionId(id, *message.add_have());
  }
  for (const ProfileRevision& revision : profile.revisions) {
    EncodeRevision(revision, *message.add_revisions());
  }
  if (!profile.query.name.empty()) {
    EncodeRevisionId(profile.query, *message.mutable_query());
  }
  if (!profile.domain.domain.empty()) {
    EncodeDomain(profile.domain, *message.mutable_domain());
  }
  return message;
}

absl::StatusOr<ProfileMessage> DecodeProfile(
    const mesh::ProfileMessage& message) {
  const bool valid =
      message.kind() <= kLastKind &&
      std::ranges::all_of(message.revisions(), [](const auto& revision) {
        return revision.revision() > 0 && !revision.name().empty();
      });
  if (!valid) {
    return MakeError(
        ResultCode::kMeshBadFrame,
        fmt::format("A profile message of kind {} has a revision without a "
                    "name or a positive number, or the kind is unknown.",
                    message.kind()));
  }
  ProfileMessage profile;
  profile.kind = static_cast<ProfileMessageKind>(message.kind());
  profile.digest = {.highest = message.digest().highest(),
                    .hash = message.digest().hash()};
  std::ranges::transform(message.have(), std::back_inserter(profile.known),
                         &DecodeRevisionId);
  std::ranges::transform(message.revisions(),
                         std::back_inserter(profile.revisions),
                         &DecodeRevision);
  profile.query = DecodeRevisionId(message.query());
  profile.domain = DecodeDomain(message.domain());
  return profile;
}

}  // namespace oleander::io
