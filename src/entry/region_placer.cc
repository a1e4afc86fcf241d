#include "entry/region_placer.h"

#include <algorithm>
#include <utility>

#include "io/log.h"

namespace oleander::entry {
namespace {

// A prompt has a few parts; more are not believed.
constexpr int kMostPrefixes = 64;

void WriteAsk(uint64_t call, const PlacementRequest& question,
              entrywire::PlaceAsk& wire) {
  wire.set_call(call);
  wire.set_service(question.service.value());
  for (const PromptPrefix& prefix : question.prompt.shared) {
    wire.add_prefixes(prefix.hash);
    wire.add_prefix_tokens(prefix.tokens);
  }
  wire.set_tokens(question.prompt.tokens);
  wire.set_urgency(question.prompt.urgency);
  wire.set_goal_us(question.goal.count());
  for (const ServerId& server : question.tried) {
    wire.add_tried(server.value());
  }
}

// Lists of unequal lengths end with the shorter one.
PlacementRequest ReadAsk(const entrywire::PlaceAsk& wire) {
  PlacementRequest question{.service = ServiceId(wire.service()),
                            .goal = Duration(wire.goal_us())};
  question.prompt.tokens = std::max<int64_t>(0, wire.tokens());
  question.prompt.urgency = wire.urgency();
  const int prefixes = std::min(
      {wire.prefixes_size(), wire.prefix_tokens_size(), kMostPrefixes});
  for (int i = 0; i < prefixes; ++i) {
    question.prompt.shared.push_back(
        {.hash = wire.prefixes(i),
         .tokens = std::clamp<int64_t>(wire.prefix_tokens(i), 0,
                                       question.prompt.tokens)});
  }
  for (const std::string& server : wire.tried()) {
    question.tried.emplace_back(server);
  }
  return question;
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
  tell_timer_ = loop_.After(options_.tell_every, [this] {
    TellWaits();
    Start();
  });
}

void RegionPlacer::TellWaits() {
  const Time now = loop_.now();
  const bool places = !retired_ && choice_.Current(now) == self_;
  if (!places) {
    return;
  }
  for (const auto& [service, engines] : placement_.PrefillLoadInRegion(now)) {
    on_demand_(service, engines);
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

void RegionPlacer::OnSent(Placed& placed, const PlacementRequest& question) {
  const RegionId* region =
      placed.server ? placement_.RegionOfServer(*placed.server) : nullptr;
  const auto other =
      region == nullptr ? other_regions_.end() : other_regions_.find(*region);
  if (question.prompt.tokens == 0 || other == other_regions_.end()) {
    return;
  }
  const auto placer = other->second.Current(loop_.now());
  if (!placer) {
    return;
  }
  if (placed.call == 0) {
    placed.call = ++last_call_;
  }
  known_by_[placed.call].push_back(*placer);
  mesh::Envelope envelope;
  WriteAsk(placed.call, question, *envelope.mutable_place_ask());
  envelope.mutable_place_ask()->set_sent_to(placed.server->value());
  send_(*placer, envelope);
}

void RegionPlacer::Choose(const PlacementRequest& question, Done done) {
  const auto placer = choice_.Current(loop_.now());
  const bool alone = question.prompt.tokens == 0 || !placer || *placer == self_;
  if (alone) {
    done({.server = placement_.Pick(loop_.now(), question)});
    return;
  }
  Ask(*placer, question, std::move(done));
}

void RegionPlacer::Ask(const InstanceId& placer,
                       const PlacementRequest& question, Done done) {
  const uint64_t call = ++last_call_;
  mesh::Envelope envelope;
  WriteAsk(call, question, *envelope.mutable_place_ask());
  asked_.emplace(call, Asked{.placer = placer,
                             .question = question,
                             .done = std::move(done),
                             .at = loop_.now()});
  if (!wait_timer_.active()) {
    wait_timer_ = loop_.After(options_.patience, [this] { OnWaited(); });
  }
  send_(placer, envelope);
}

void RegionPlacer::OnWaited() {
  const Time now = loop_.now();
  while (!asked_.empty() &&
         now - asked_.begin()->second.at >= options_.patience) {
    const auto node = asked_.extract(asked_.begin());
    const Asked& asked = node.mapped();
    if (choice_.OnTimeout(now, asked.placer)) {
      io::Log(io::LogLevel::kWarning, "placer.silent",
              {{"placer", asked.placer.value()},
               {"next", choice_.Current(now).value_or(self_).value()}});
    }
    // It may have placed the call all the same.
    known_by_[node.key()] = {asked.placer};
    OnEnded(node.key());
    asked.done({.server = placement_.Pick(now, asked.question)});
  }
  if (!asked_.empty()) {
    wait_timer_ =
        loop_.After(asked_.begin()->second.at + options_.patience - now,
                    [this] { OnWaited(); });
  }
}

void RegionPlacer::OnTell(const InstanceId& from,
                          const entrywire::PlaceTell& tell) {
  const auto found = asked_.find(tell.call());
  if (found == asked_.end() || found->second.placer != from) {
    return;
  }
  const Asked asked = std::move(found->second);
  asked_.erase(found);
  const Time now = loop_.now();
  if (tell.retired()) {
    choice_.OnRetired(now, from);
    io::Log(io::LogLevel::kInfo, "placer.retired",
            {{"placer", from.value()},
             {"next", choice_.Current(now).value_or(self_).value()}});
  } else {
    choice_.OnAnswer(from);
  }
  const ServerId server(tell.server());
  const bool usable = !server.empty() && placement_.MayUse(now, server);
  if (!server.empty()) {
    known_by_[tell.call()] = {from};
  }
  if (usable) {
    asked.done({.server = server,
                .call = tell.call(),
                .expected = Duration(tell.expected_us())});
    return;
  }
  OnEnded(tell.call());
  asked.done({.server = placement_.Pick(now, asked.question)});
}

void RegionPlacer::OnBegun(uint64_t call) {
  Tell(call, [call](entrywire::PlaceNews& news) { news.add_begun(call); });
}

void RegionPlacer::OnEnded(uint64_t call) {
  Tell(call, [call](entrywire::PlaceNews& news) { news.add_ended(call); });
  known_by_.erase(call);
}

void RegionPlacer::OnFailed(uint64_t call, const ServerId& server) {
  Tell(call, [&server](entrywire::PlaceNews& news) {
    news.add_failed(server.value());
  });
}

void RegionPlacer::Tell(
    uint64_t call, const std::function<void(entrywire::PlaceNews&)>& write) {
  const auto known = known_by_.find(call);
  if (known == known_by_.end()) {
    return;
  }
  for (const InstanceId& placer : known->second) {
    write(news_[placer]);
  }
  if (!news_timer_.active()) {
    news_timer_ = loop_.After(options_.gather, [this] { SendNews(); });
  }
}

void RegionPlacer::SendNews() {
  for (auto& [placer, news] : std::exchange(news_, {})) {
    mesh::Envelope envelope;
    *envelope.mutable_place_news() = std::move(news);
    send_(placer, envelope);
  }
}

void RegionPlacer::OnMessage(const InstanceId& from,
                             const mesh::Envelope& message) {
  if (message.has_place_ask()) {
    Answer(from, message.place_ask());
  } else if (message.has_place_tell()) {
    OnTell(from, message.place_tell());
  } else if (message.has_place_news()) {
    OnNews(from, message.place_news());
  } else if (message.has_place_waits()) {
    OnWaits(message.place_waits());
  }
}

void RegionPlacer::Answer(const InstanceId& from,
                          const entrywire::PlaceAsk& ask) {
  const Time now = loop_.now();
  const PlacementRequest question = ReadAsk(ask);
  DropLost();
  if (!ask.sent_to().empty()) {
    Keep(from, ask, ServerId(ask.sent_to()), question.prompt);
    return;
  }
  mesh::Envelope envelope;
  entrywire::PlaceTell& tell = *envelope.mutable_place_tell();
  tell.set_call(ask.call());
  tell.set_retired(retired_);
  const auto server = retired_ ? std::nullopt : placement_.Pick(now, question);
  if (server) {
    const Duration expected =
        placement_.ExpectedFirstToken(now, *server, question);
    tell.set_server(server->value());
    tell.set_expected_us(expected.count());
    Keep(from, ask, *server, question.prompt);
  }
  send_(from, envelope);
}

void RegionPlacer::Keep(const InstanceId& from, const entrywire::PlaceAsk& ask,
                        const ServerId& server, const Prompt& prompt) {
  const Time now = loop_.now();
  placed_[{from, ask.call()}] = {
      .server = server,
      .reading = placement_.OnSent(now, server, prompt),
      .until = now + options_.forgotten_after};
}

void RegionPlacer::OnNews(const InstanceId& from,
                          const entrywire::PlaceNews& news) {
  const Time now = loop_.now();
  for (const uint64_t call : news.begun()) {
    const auto found = placed_.find({from, call});
    if (found != placed_.end()) {
      placement_.OnStarted(now, found->second.reading);
      placement_.OnSuccess(found->second.server);
    }
  }
  for (const uint64_t call : news.ended()) {
    EndPlaced({from, call});
  }
  for (const std::string& server : news.failed()) {
    placement_.OnFailure(now, ServerId(server));
  }
}

void RegionPlacer::EndPlaced(const AskerCall& key) {
  const auto found = placed_.find(key);
  if (found != placed_.end()) {
    placement_.OnEnded(loop_.now(), found->second.server,
                       found->second.reading);
    placed_.erase(found);
  }
}

// Calls whose askers have gone.
void RegionPlacer::DropLost() {
  const Time now = loop_.now();
  if (now < sweep_at_) {
    return;
  }
  sweep_at_ = now + options_.sweep_every;
  std::vector<AskerCall> lost;
  for (const auto& [key, placed] : placed_) {
    if (now >= placed.until) {
      lost.push_back(key);
    }
  }
  std::ranges::for_each(lost, [this](const AskerCall& key) { EndPlaced(key); });
}

}  // namespace oleander::entry
