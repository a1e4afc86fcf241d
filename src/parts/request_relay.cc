#include "parts/request_relay.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "oleander/result_code.h"

namespace oleander {
namespace {

constexpr char kIdSeparator = '~';
constexpr int kMaxHintsFollowed = 4;
// Pause between two search rounds.
constexpr Duration kRoundPause = std::chrono::milliseconds(500);
// A relay whose holder was silent for this many refreshes searches again.
constexpr int kMaxMissedRefreshes = 3;

}  // namespace

RequestId MakeRequestId(const InstanceId& home, const InstanceId& replica,
                        uint64_t random) {
  return RequestId(
      fmt::format("{}~{}~{:016x}", home.value(), replica.value(), random));
}

std::optional<RequestIdParts> ParseRequestId(const RequestId& id) {
  const std::string& text = id.value();
  const size_t first = text.find(kIdSeparator);
  const size_t last = text.rfind(kIdSeparator);
  if (first == std::string::npos || first == last || first == 0) {
    return std::nullopt;
  }
  constexpr size_t kRandomDigits = 16;
  if (text.size() - last - 1 != kRandomDigits) {
    return std::nullopt;
  }
  return RequestIdParts{
      .home = InstanceId(text.substr(0, first)),
      .replica = InstanceId(text.substr(first + 1, last - first - 1))};
}

RequestRelays::RequestRelays(const RequestTableOptions& options, uint64_t seed)
    : options_(&options),
      random_(seed),
      region_tokens_(options.timing.region_lookups_per_second) {}

void RequestRelays::Start(Time now, FollowerId follower, const RequestId& id,
                          uint64_t from, FollowMode mode,
                          const InstanceId& hint) {
  Relay& relay = relays_[follower];
  relay = {.follower = follower,
           .id = id,
           .mode = mode,
           .next = from,
           .requested_from = from,
           .holder = {},
           .confirmed = false,
           .last_received = now,
           .named_candidates = {},
           .region_candidates = {},
           .unaware = {},
           .inconclusive = {},
           .hints_followed = 0,
           .give_up_at = now + options_->timing.locate_timeout,
           .due = now};
  StartRound(now, relay, hint);
}

void RequestRelays::Stop(FollowerId follower) {
  const auto found = relays_.find(follower);
  if (found == relays_.end()) {
    return;
  }
  const Relay& relay = found->second;
  if (relay.confirmed) {
    actions_.push_back(SendRequestMessage{
        .to = relay.holder,
        .message = {.id = relay.id,
                    .ownership = {},
                    .replica_number = 0,
                    .body = StopFollowing{static_cast<uint64_t>(follower)}}});
  }
  relays_.erase(found);
}

std::vector<RequestRelays::TakenFollower> RequestRelays::TakeFollowers(
    const RequestId& id) {
  std::vector<TakenFollower> taken;
  std::erase_if(relays_, [&](const auto& entry) {
    const Relay& relay = entry.second;
    if (relay.id != id) {
      return false;
    }
    taken.push_back({.follower = {.id = relay.follower, .next = relay.next},
                     .mode = relay.mode});
    return true;
  });
  return taken;
}

void RequestRelays::SetPeers(Time now,
                             const std::map<InstanceId, PeerView>& peers) {
  peers_ = peers;
  for (auto& [follower, relay] : relays_) {
    const auto holder = peers_.find(relay.holder);
    const bool lost = holder == peers_.end() || !holder->second.alive;
    if (relay.confirmed && lost) {
      relay.give_up_at = now + options_->timing.locate_timeout;
      StartRound(now, relay, {});
    }
  }
}

void RequestRelays::StartRound(Time now, Relay& relay, const InstanceId& hint) {
  relay.confirmed = false;
  relay.holder = {};
  relay.unaware.clear();
  relay.inconclusive.clear();
  relay.hints_followed = 0;
  relay.named_candidates.clear();
  relay.region_candidates.clear();
  const auto add_named = [&](const InstanceId& id) {
    const auto peer = peers_.find(id);
    if (peer != peers_.end() && peer->second.alive &&
        std::ranges::find(relay.named_candidates, id) ==
            relay.named_candidates.end()) {
      relay.named_candidates.push_back(id);
    }
  };
  add_named(hint);
  if (const auto parts = ParseRequestId(relay.id)) {
    add_named(parts->home);
    add_named(parts->replica);
  }
  for (const auto& [id, peer] : peers_) {
    if (peer.alive && std::ranges::find(relay.named_candidates, id) ==
                          relay.named_candidates.end()) {
      relay.region_candidates.push_back(id);
    }
  }
  std::ranges::shuffle(relay.region_candidates, random_);
  QueryNext(now, relay);
}

void RequestRelays::QueryNext(Time now, Relay& relay) {
  if (!relay.named_candidates.empty()) {
    const InstanceId next = relay.named_candidates.front();
    relay.named_candidates.pop_front();
    QueryInstance(now, relay, next);
    return;
  }
  if (relay.region_candidates.empty()) {
    EndRound(now, relay);
    return;
  }
  if (!TakeRegionToken(now)) {
    relay.holder = {};
    relay.due = now + options_->timing.locate_reply_timeout;
    return;
  }
  const InstanceId next = relay.region_candidates.front();
  relay.region_candidates.pop_front();
  QueryInstance(now, relay, next);
}

void RequestRelays::QueryInstance(Time now, Relay& relay,
                                  const InstanceId& instance) {
  relay.holder = instance;
  relay.confirmed = false;
  SendFollow(now, relay);
  relay.due = now + options_->timing.locate_reply_timeout;
}

void RequestRelays::SendFollow(Time now, Relay& relay) {
  relay.requested_from = relay.next;
  relay.due = now + options_->timing.follow_refresh;
  actions_.push_back(SendRequestMessage{
      .to = relay.holder,
      .message = {.id = relay.id,
                  .ownership = {},
                  .replica_number = 0,
                  .body = FollowRequest{
                      .follower = static_cast<uint64_t>(relay.follower),
                      .from = relay.next,
                      .mode = relay.mode}}});
}

void RequestRelays::EndRound(Time now, Relay& relay) {
  relay.holder = {};
  const bool unknown_everywhere = relay.inconclusive.empty() &&
                                  relay.hints_followed == 0 && !peers_.empty();
  if (unknown_everywhere || !ParseRequestId(relay.id).has_value()) {
    relay.give_up_at = now;
  }
  relay.due = std::min(now + kRoundPause, relay.give_up_at);
}

bool RequestRelays::TakeRegionToken(Time now) {
  const double rate = options_->timing.region_lookups_per_second;
  const double seconds =
      std::chrono::duration<double>(now - region_filled_).count();
  region_tokens_ = std::min(rate, region_tokens_ + seconds * rate);
  region_filled_ = now;
  if (region_tokens_ < 1) {
    return false;
  }
  region_tokens_ -= 1;
  return true;
}

void RequestRelays::OnEvents(Time now, const InstanceId& from,
                             const RequestId& id, const FollowEvents& events) {
  const auto found = relays_.find(static_cast<FollowerId>(events.follower));
  if (found == relays_.end() || found->second.id != id ||
      found->second.holder != from) {
    return;
  }
  Relay& relay = found->second;
  relay.confirmed = true;
  relay.last_received = now;
  if (relay.mode != FollowMode::kStream) {
    RequestView view;
    view.state = events.state;
    view.events = events.events.size();
    view.text = JoinEvents(events.events);
    view.end = events.end;
    FinishSnapshot(relay, std::move(view));
    return;
  }
  const uint64_t end_index = events.first_index + events.events.size();
  if (events.first_index > relay.next) {
    return;  // Earlier events were lost; the next FollowRequest recovers them.
  }
  if (end_index > relay.next) {
    const auto fresh = events.events.begin() +
                       static_cast<ptrdiff_t>(relay.next - events.first_index);
    actions_.push_back(DeliverEvents{.follower = relay.follower,
                                     .id = relay.id,
                                     .first_index = relay.next,
                                     .events = {fresh, events.events.end()}});
    relay.next = end_index;
  }
  if (events.end.has_value()) {
    if (end_index == relay.next) {
      Finish(relay, *events.end);
    } else {
      Fail(relay, BeyondEndError(id, relay.next, end_index));
    }
    return;
  }
  if (relay.next - relay.requested_from >= options_->timing.follow_window / 2) {
    SendFollow(now, relay);
  }
}

void RequestRelays::OnRedirect(Time now, const InstanceId& from,
                               const RequestId& id,
                               const FollowRedirect& redirect) {
  const auto found = relays_.find(static_cast<FollowerId>(redirect.follower));
  if (found == relays_.end() || found->second.id != id ||
      found->second.holder != from) {
    return;
  }
  Relay& relay = found->second;
  if (redirect.removed) {
    Fail(relay, MakeError(ResultCode::kRequestGone,
                          fmt::format("Request {} ended and its answer was "
                                      "removed.",
                                      id.value())));
    return;
  }
  if (relay.confirmed) {
    relay.give_up_at = now + options_->timing.locate_timeout;
    StartRound(now, relay, redirect.holder);
    return;
  }
  const auto peer = peers_.find(redirect.holder);
  const bool may_query = peer != peers_.end() && peer->second.alive &&
                         relay.hints_followed < kMaxHintsFollowed;
  if (redirect.holder.empty()) {
    relay.unaware.insert(from);
  } else {
    relay.inconclusive.insert(from);  // It named a holder: keep searching.
  }
  if (may_query) {
    ++relay.hints_followed;
    QueryInstance(now, relay, redirect.holder);
    return;
  }
  QueryNext(now, relay);
}

void RequestRelays::MoveAllReaders() {
  std::erase_if(relays_, [&](const auto& entry) {
    const Relay& relay = entry.second;
    if (relay.mode != FollowMode::kStream || !relay.confirmed) {
      return false;
    }
    actions_.push_back(FollowerMoved{.follower = relay.follower,
                                     .id = relay.id,
                                     .next = relay.next,
                                     .to = relay.holder});
    return true;
  });
}

void RequestRelays::Tick(Time now) {
  std::vector<FollowerId> due;
  for (const auto& [follower, relay] : relays_) {
    if (relay.due <= now) {
      due.push_back(follower);
    }
  }
  for (const FollowerId follower : due) {
    const auto found = relays_.find(follower);
    if (found != relays_.end()) {
      OnDue(now, found->second);
    }
  }
}

void RequestRelays::OnDue(Time now, Relay& relay) {
  const Duration silence =
      options_->timing.follow_refresh * kMaxMissedRefreshes;
  if (relay.confirmed && now - relay.last_received < silence) {
    SendFollow(now, relay);
    return;
  }
  if (relay.confirmed) {
    relay.give_up_at = now + options_->timing.locate_timeout;
    StartRound(now, relay, {});
    return;
  }
  if (now >= relay.give_up_at) {
    Fail(relay, MakeError(ResultCode::kUnknownRequest,
                          fmt::format("No reachable instance holds request {}.",
                                      relay.id.value())));
    return;
  }
  if (!relay.holder.empty()) {
    relay.inconclusive.insert(relay.holder);
    QueryNext(now, relay);
    return;
  }
  if (relay.named_candidates.empty() && relay.region_candidates.empty()) {
    StartRound(now, relay, {});
  } else {
    QueryNext(now, relay);
  }
}

std::optional<Time> RequestRelays::next_due() const {
  const auto next = std::ranges::min_element(
      relays_, {}, [](const auto& entry) { return entry.second.due; });
  return next == relays_.end() ? std::nullopt : std::optional(next->second.due);
}

void RequestRelays::Finish(const Relay& relay, const RequestEnd& end) {
  actions_.push_back(
      FollowerEnded{.follower = relay.follower, .id = relay.id, .end = end});
  const FollowerId follower = relay.follower;
  relays_.erase(follower);
}

void RequestRelays::FinishSnapshot(const Relay& relay,
                                   absl::StatusOr<RequestView> view) {
  actions_.push_back(SnapshotReady{
      .follower = relay.follower, .id = relay.id, .view = std::move(view)});
  const FollowerId follower = relay.follower;
  relays_.erase(follower);
}

void RequestRelays::Fail(const Relay& relay, const absl::Status& status) {
  if (relay.mode == FollowMode::kStream) {
    Finish(relay, {.status = status, .finish_reason = {}});
  } else {
    FinishSnapshot(relay, status);
  }
}

std::vector<RequestAction> RequestRelays::TakeActions() {
  return std::exchange(actions_, {});
}

}  // namespace oleander
