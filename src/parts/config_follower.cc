#include "oleander/config_follower.h"

#include <algorithm>

namespace oleander {

void ConfigFollower::OnHeard(Time now, int64_t version,
                             const InstanceId& from) {
  if (version <= in_force_) {
    return;
  }
  mentioned_at_ = now;
  if (!is_behind()) {
    behind_since_ = now;
    tries_ = 0;
    next_try_ = now + options_.parent_grace;
  }
  if (version > heard_) {
    heard_ = version;
    heard_from_ = from;
    heard_at_ = now;
  }
}

void ConfigFollower::OnAnnounced(Time now, int64_t version,
                                 const InstanceId& from) {
  OnHeard(now, version, from);
  if (version > in_force_ && version == heard_ && tries_ == 0) {
    heard_from_ = from;
    next_try_ = now;
  }
}

void ConfigFollower::OnApplied(Time now, int64_t version) {
  in_force_ = std::max(in_force_, version);
  tries_ = 0;
  unanswered_ = 0;
  read_at_.reset();
  next_try_ = now;
  awaits_until_ = now;
  if (is_behind()) {
    behind_since_ = now;
  }
}

void ConfigFollower::OnAsked(Time now, const Source& source) {
  if (source.peer.empty()) {
    read_at_ = now;
    return;
  }
  ++tries_;
  ++unanswered_;
  Await(now);
}

void ConfigFollower::OnProgress(Time now) {
  unanswered_ = 0;
  Await(now);
}

void ConfigFollower::OnNothingNewer(Time now, const InstanceId& from) {
  replied_at_ = now;
  unanswered_ = 0;
  next_try_ = now + options_.retry;
  awaits_until_ = now;
  if (from == fleet_.parent) {
    parent_replied_at_ = now;
  }
}

void ConfigFollower::OnConfirmed(Time requested_at) {
  if (requested_at >= heard_at_) {
    heard_ = std::min(heard_, in_force_);
  }
}

std::optional<ConfigFollower::Source> ConfigFollower::SourceDue(
    Time now) const {
  if (!is_behind() || now < awaits_until_) {
    return std::nullopt;
  }
  if (IsReadDue(now)) {
    return Source{};
  }
  const InstanceId peer = NextPeer(now);
  return now < next_try_ || peer.empty() ? std::nullopt
                                         : std::optional(Source{.peer = peer});
}

std::optional<Time> ConfigFollower::behind_since() const {
  return in_force_ != 0 && is_behind() ? std::optional(behind_since_)
                                       : std::nullopt;
}

bool ConfigFollower::is_superseded(Time now) const {
  return behind_since().has_value() &&
         now - behind_since_ >= options_.superseded_after &&
         now - mentioned_at_ < options_.mention_validity;
}

bool ConfigFollower::IsReadDue(Time now) const {
  if (fleet_.is_reader) {
    return false;
  }
  if (read_at_) {
    return now - *read_at_ >= options_.read_retry;
  }
  if (in_force_ != 0) {
    return now - behind_since_ >= options_.read_after;
  }
  // Peers may be slow to reply while they get the configuration themselves.
  const bool has_peers = !fleet_.parent.empty() || !fleet_.readers.empty();
  const bool are_silent = !has_peers || unanswered_ >= options_.tries_alone;
  const Time last_reply = replied_at_.value_or(behind_since_);
  return now - behind_since_ >= options_.first_read_after ||
         (are_silent && now - last_reply >= options_.first_read_alone);
}

InstanceId ConfigFollower::NextPeer(Time now) const {
  // After a restart of all instances the parent gets a configuration first.
  const bool parent_lives =
      parent_replied_at_ && now - *parent_replied_at_ < options_.reply_timeout;
  if (in_force_ == 0 && parent_lives) {
    return fleet_.parent;
  }
  if (tries_ == 0) {
    return heard_ > in_force_ ? heard_from_ : fleet_.parent;
  }
  return fleet_.readers.empty()
             ? fleet_.parent
             : fleet_.readers[tries_ % fleet_.readers.size()];
}

}  // namespace oleander
