#include "entry/region_placer.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "io/log.h"

namespace oleander::entry {
namespace {

// Prompts have only a few shared prefixes; a message with more is truncated.
constexpr int kMaxPrefixes = 64;
// A server's slowness in messages: a hundred is the usual one.
constexpr double kUsualPercent = 100;
constexpr double kMaxPercent = 10'000;

void WriteRequest(uint64_t call, const PlacementRequest& request,
                  entrywire::PlaceAsk& wire) {
  wire.set_call(call);
  wire.set_service(request.service.value());
  for (const PromptPrefix& prefix : request.prompt.shared) {
    wire.add_prefixes(prefix.hash);
    wire.add_prefix_tokens(prefix.tokens);
  }
  wire.set_tokens(request.prompt.tokens);
  wire.set_urgency(request.prompt.urgency);
  wire.set_goal_us(request.goal.count());
  for (const ServerId& server : request.tried) {
    wire.add_tried(server.value());
  }
  if (request.version) {
    wire.set_version(*request.version);
  }
  for (const std::string& version : request.avoided_versions) {
    wire.add_avoided_versions(version);
  }
  for (const ServerId& server : request.servers) {
    wire.add_servers(server.value());
  }
}

// Returns the request of the message. If the lists of prefixes and of their
// tokens differ in length, the excess of the longer one is ignored.
PlacementRequest ReadRequest(const entrywire::PlaceAsk& wire) {
  PlacementRequest request{.service = ServiceId(wire.service()),
                           .goal = Duration(wire.goal_us())};
  request.prompt.tokens = std::max<int64_t>(0, wire.tokens());
  request.prompt.urgency = wire.urgency();
  const int prefixes =
      std::min({wire.prefixes_size(), wire.prefix_tokens_size(), kMaxPrefixes});
  for (int i = 0; i < prefixes; ++i) {
    request.prompt.shared.push_back(
        {.hash = wire.prefixes(i),
         .tokens = std::clamp<int64_t>(wire.prefix_tokens(i), 0,
                                       request.prompt.tokens)});
  }
  for (const std::string& server : wire.tried()) {
    request.tried.emplace_back(server);
  }
  if (wire.has_version()) {
    request.version = wire.version();
  }
  for (const std::string& version : wire.avoided_versions()) {
    request.avoided_versions.push_back(version);
  }
  for (const std::string& server : wire.servers()) {
    request.servers.emplace_back(server);
  }
  return request;
}

}  // namespace

RegionPlacer::RegionPlacer(io::EventLoop& loop, InstanceId self,
                           const Location& location, Placement& placement,
                           uint64_t seed, RegionPlacerOptions options)
    : options_(options),
      loop_(loop),
      self_(std::move(self)),
      placement_(placement),
      location_(location),
      choice_(location.region),
      last_call_(seed) {}

void RegionPlacer::SetCandidates(
    const std::vector<PlacerCandidate>& candidates) {
  choice_.SetCandidates(candidates);
  other_regions_.clear();
  for (const PlacerCandidate& candidate : candidates) {
    if (candidate.region != location_.region) {
      other_regions_.try_emplace(candidate.region,
                                 PlacerChoice(candidate.region));
    }
  }
  for (auto& [region, choice] : other_regions_) {
    choice.SetCandidates(candidates);
  }
}

void RegionPlacer::Start() {
  wait_report_timer_ = loop_.After(options_.wait_report_interval, [this] {
    SendWaits();
    Start();
  });
}

void RegionPlacer::SendWaits() {
  const Time now = loop_.now();
  if (!places()) {
    return;
  }
  for (const auto& [service, engines] : placement_.PrefillLoadInRegion(now)) {
    on_prefill_load_(service, engines);
  }
  mesh::Envelope envelope;
  entrywire::PlaceWaits& waits = *envelope.mutable_place_waits();
  for (const auto& [server, wait] : placement_.WaitsInRegion(now)) {
    waits.add_servers(server.value());
    waits.add_waits_us(wait.count());
  }
  if (waits.servers_size() == 0) {
    return;
  }
  for (const auto& [region, choice] : other_regions_) {
    if (const auto placer = choice.Current(now)) {
      send_(*placer, envelope);
    }
  }
}

void RegionPlacer::OnWaits(const entrywire::PlaceWaits& waits) {
  const int count = std::min(waits.servers_size(), waits.waits_us_size());
  for (int i = 0; i < count; ++i) {
    placement_.OnReportedWait(
        loop_.now(), ServerId(waits.servers(i)),
        Duration(std::max<int64_t>(0, waits.waits_us(i))));
  }
}

void RegionPlacer::OnSent(Placed& placed, const PlacementRequest& request) {
  const RegionId* region =
      placed.server ? placement_.RegionOfServer(*placed.server) : nullptr;
  const auto other =
      region == nullptr ? other_regions_.end() : other_regions_.find(*region);
  if (request.prompt.tokens == 0 || other == other_regions_.end()) {
    return;
  }
  const auto placer = other->second.Current(loop_.now());
  if (!placer) {
    return;
  }
  if (placed.call == 0) {
    placed.call = ++last_call_;
  }
  placers_of_call_[placed.call].push_back(*placer);
  mesh::Envelope envelope;
  WriteRequest(placed.call, request, *envelope.mutable_place_ask());
  envelope.mutable_place_ask()->set_sent_to(placed.server->value());
  send_(*placer, envelope);
}

void RegionPlacer::Choose(const PlacementRequest& request, Done done) {
  const auto placer = choice_.Current(loop_.now());
  const bool chooses_locally =
      request.prompt.tokens == 0 || !placer || *placer == self_;
  if (chooses_locally) {
    done({.server = placement_.Pick(loop_.now(), request)});
    return;
  }
  SendRequest(*placer, request, std::move(done));
}

void RegionPlacer::SendRequest(const InstanceId& placer,
                               const PlacementRequest& request, Done done) {
  const uint64_t call = ++last_call_;
  mesh::Envelope envelope;
  WriteRequest(call, request, *envelope.mutable_place_ask());
  pending_requests_.emplace(call, PendingRequest{.placer = placer,
                                                 .request = request,
                                                 .done = std::move(done),
                                                 .at = loop_.now()});
  if (!request_timer_.active()) {
    request_timer_ =
        loop_.After(options_.request_timeout, [this] { OnRequestTimeout(); });
  }
  send_(placer, envelope);
}

void RegionPlacer::OnRequestTimeout() {
  const Time now = loop_.now();
  while (!pending_requests_.empty() &&
         now - pending_requests_.begin()->second.at >=
             options_.request_timeout) {
    const auto node = pending_requests_.extract(pending_requests_.begin());
    const PendingRequest& pending = node.mapped();
    if (choice_.OnTimeout(now, pending.placer)) {
      io::Log(io::LogLevel::kWarning, "placer.silent",
              {{"placer", pending.placer.value()},
               {"next", choice_.Current(now).value_or(self_).value()}});
    }
    // The placer may have placed the call nevertheless, so report its end.
    placers_of_call_[node.key()] = {pending.placer};
    OnEnded(node.key());
    pending.done({.server = placement_.Pick(now, pending.request)});
  }
  if (!pending_requests_.empty()) {
    request_timer_ = loop_.After(
        pending_requests_.begin()->second.at + options_.request_timeout - now,
        [this] { OnRequestTimeout(); });
  }
}

void RegionPlacer::OnReply(const InstanceId& from,
                           const entrywire::PlaceTell& reply) {
  const auto found = pending_requests_.find(reply.call());
  if (found == pending_requests_.end() || found->second.placer != from) {
    return;
  }
  const PendingRequest pending = std::move(found->second);
  pending_requests_.erase(found);
  const Time now = loop_.now();
  if (reply.retired()) {
    choice_.OnRetired(now, from);
    io::Log(io::LogLevel::kInfo, "placer.retired",
            {{"placer", from.value()},
             {"next", choice_.Current(now).value_or(self_).value()}});
  } else {
    choice_.OnAnswer(from);
  }
  const ServerId server(reply.server());
  // The placer's list may be older or newer than the local one.
  const bool usable = !server.empty() && placement_.MayUse(now, server) &&
                      placement_.HasVersionFor(pending.request, server);
  if (!server.empty()) {
    placers_of_call_[reply.call()] = {from};
  }
  if (usable) {
    pending.done({.server = server,
                  .call = reply.call(),
                  .expected = Duration(reply.expected_us())});
    return;
  }
  OnEnded(reply.call());
  pending.done({.server = placement_.Pick(now, pending.request)});
}

void RegionPlacer::OnStarted(uint64_t call, std::optional<double> slowness) {
  const auto percent = static_cast<uint32_t>(std::lround(
      std::clamp(slowness.value_or(0) * kUsualPercent, 0.0, kMaxPercent)));
  QueueUpdate(call, [call, percent](entrywire::PlaceNews& update) {
    update.add_begun(call);
    update.add_begun_slowness(percent);
  });
}

void RegionPlacer::OnEnded(uint64_t call) {
  QueueUpdate(call,
              [call](entrywire::PlaceNews& update) { update.add_ended(call); });
  placers_of_call_.erase(call);
}

void RegionPlacer::OnFailed(uint64_t call, const ServerId& server) {
  QueueUpdate(call, [&server](entrywire::PlaceNews& update) {
    update.add_failed(server.value());
  });
}

void RegionPlacer::QueueUpdate(
    uint64_t call, const std::function<void(entrywire::PlaceNews&)>& write) {
  const auto known = placers_of_call_.find(call);
  if (known == placers_of_call_.end()) {
    return;
  }
  for (const InstanceId& placer : known->second) {
    write(updates_[placer]);
  }
  if (!update_timer_.active()) {
    update_timer_ =
        loop_.After(options_.update_delay, [this] { SendUpdates(); });
  }
}

void RegionPlacer::SendUpdates() {
  for (auto& [placer, update] : std::exchange(updates_, {})) {
    mesh::Envelope envelope;
    *envelope.mutable_place_news() = std::move(update);
    send_(placer, envelope);
  }
}

void RegionPlacer::OnMessage(const InstanceId& from,
                             const mesh::Envelope& message) {
  if (message.has_place_ask()) {
    OnRequest(from, message.place_ask());
  } else if (message.has_place_tell()) {
    OnReply(from, message.place_tell());
  } else if (message.has_place_news()) {
    OnUpdate(from, message.place_news());
  } else if (message.has_place_waits()) {
    OnWaits(message.place_waits());
  }
}

void RegionPlacer::OnRequest(const InstanceId& from,
                             const entrywire::PlaceAsk& wire) {
  const Time now = loop_.now();
  PlacementRequest request = ReadRequest(wire);
  request.sender = from;
  DropExpiredCalls();
  if (!wire.sent_to().empty()) {
    RecordCall(from, wire, ServerId(wire.sent_to()), request.prompt);
    return;
  }
  mesh::Envelope envelope;
  entrywire::PlaceTell& reply = *envelope.mutable_place_tell();
  reply.set_call(wire.call());
  reply.set_retired(retired_);
  const auto server = retired_ ? std::nullopt : placement_.Pick(now, request);
  if (server) {
    const Duration expected =
        placement_.ExpectedFirstToken(now, *server, request);
    reply.set_server(server->value());
    reply.set_expected_us(expected.count());
    RecordCall(from, wire, *server, request.prompt);
  }
  send_(from, envelope);
}

void RegionPlacer::RecordCall(const InstanceId& from,
                              const entrywire::PlaceAsk& wire,
                              const ServerId& server, const Prompt& prompt) {
  const Time now = loop_.now();
  placed_calls_[{from, wire.call()}] = {
      .server = server,
      .placement_call = placement_.OnSent(now, server, prompt),
      .until = now + options_.call_lifetime};
}

void RegionPlacer::OnUpdate(const InstanceId& from,
                            const entrywire::PlaceNews& update) {
  const Time now = loop_.now();
  for (int i = 0; i < update.begun_size(); ++i) {
    const auto found = placed_calls_.find({from, update.begun(i)});
    if (found != placed_calls_.end()) {
      if (i < update.begun_slowness_size() && update.begun_slowness(i) != 0) {
        placement_.OnToldSlowness(
            now, found->second.server,
            static_cast<double>(update.begun_slowness(i)) / kUsualPercent);
      }
      placement_.OnStarted(now, found->second.placement_call);
      placement_.OnSuccess(found->second.server);
    }
  }
  for (const uint64_t call : update.ended()) {
    EndCall({from, call});
  }
  for (const std::string& server : update.failed()) {
    placement_.OnFailure(now, ServerId(server));
  }
}

void RegionPlacer::EndCall(const RemoteCallId& key) {
  const auto found = placed_calls_.find(key);
  if (found != placed_calls_.end()) {
    placement_.OnEnded(loop_.now(), found->second.server,
                       found->second.placement_call);
    placed_calls_.erase(found);
  }
}

// Drops calls whose end wasn't reported within `call_lifetime`, for example
// because the instance that requested them stopped.
void RegionPlacer::DropExpiredCalls() {
  const Time now = loop_.now();
  if (now < sweep_at_) {
    return;
  }
  sweep_at_ = now + options_.sweep_interval;
  std::vector<RemoteCallId> expired;
  for (const auto& [key, placed] : placed_calls_) {
    if (now >= placed.until) {
      expired.push_back(key);
    }
  }
  std::ranges::for_each(expired,
                        [this](const RemoteCallId& key) { EndCall(key); });
}

}  // namespace oleander::entry
