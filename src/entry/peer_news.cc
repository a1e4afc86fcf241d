#include "entry/peer_news.h"

#include <algorithm>
#include <utility>

#include "io/log.h"

namespace oleander::entry {
namespace {

// With few peers; the time grows with their number, so that what an instance
// sends stays the same.
constexpr Duration kShortestPeriod = std::chrono::milliseconds(250);
constexpr Duration kPeriodPerPeer = std::chrono::milliseconds(25);
// Without news a message goes out this often, to show that its sender lives.
constexpr Duration kLongestSilence = std::chrono::milliseconds(500);
// A peer counts as silent after missing this many messages.
constexpr int kMissedNews = 3;
// The first rounds of a process tell all that it has used since its start.
constexpr uint64_t kFirstRounds = 8;

}  // namespace

PeerNews::PeerNews(CallContext& context, WorkspaceQuotas& quotas,
                   const EntrySettings& settings, uint64_t run)
    : context_(context),
      quotas_(quotas),
      self_(settings.instance),
      run_(run),
      mesh_(context.loop,
            {.id = settings.instance,
             .address = settings.callers.address,
             .port = settings.mesh_port,
             .heartbeat = std::chrono::seconds(2),
             .silence_bound = std::chrono::seconds(5)},
            [this](const InstanceId& from, const mesh::Envelope& message) {
              OnMessage(from, message);
            }) {}

void PeerNews::Start() { Tell(); }

Duration PeerNews::Period() const {
  return std::max<Duration>(kShortestPeriod, kPeriodPerPeer * peers_.size());
}

Duration PeerNews::silent_after() const {
  return std::max<Duration>(kLongestSilence, Period()) * kMissedNews;
}

void PeerNews::Tell() {
  timer_ = context_.loop.After(Period(), [this] { Tell(); });
  double asked = 0;
  for (const auto& [workspace, totals] : quotas_.totals()) {
    asked += totals.asked;
  }
  const Time now = context_.loop.now();
  const bool news = asked != told_asked_ ||
                    now - told_at_ >= std::max(kLongestSilence, Period());
  if (!news) {
    return;
  }
  told_asked_ = asked;
  told_at_ = now;
  ++round_;
  const mesh::Envelope message = Message();
  for (const auto& [peer, address] : peers_) {
    // What finds no room is told by the next message, which carries totals.
    mesh_.Send(peer, message).IgnoreError();
  }
}

mesh::Envelope PeerNews::Message() const {
  mesh::Envelope envelope;
  entrywire::EntryNews& news = *envelope.mutable_news();
  news.set_run(run_);
  news.set_round(round_);
  for (const auto& [workspace, totals] : quotas_.totals()) {
    (*news.mutable_asked())[workspace.value()] = totals.asked;
    (*news.mutable_used())[workspace.value()] = totals.used;
  }
  return envelope;
}

void PeerNews::OnMessage(const InstanceId& from,
                         const mesh::Envelope& message) {
  if (message.has_store_ask() || message.has_store_tell()) {
    receiver_(from, message);
    return;
  }
  if (!message.has_news()) {
    io::Log(io::LogLevel::kWarning, "mesh.unexpected",
            {{"peer", from.value()},
             {"body", static_cast<int>(message.body_case())}});
    return;
  }
  const entrywire::EntryNews& news = message.news();
  absl::flat_hash_map<WorkspaceId, QuotaTotals> totals;
  for (const auto& [workspace, asked] : news.asked()) {
    totals[WorkspaceId(workspace)].asked = asked;
  }
  for (const auto& [workspace, used] : news.used()) {
    totals[WorkspaceId(workspace)].used = used;
  }
  quotas_.OnPeer(context_.loop.now(), from, news.run(),
                 news.round() <= kFirstRounds, totals);
}

void PeerNews::OnRecords(const RecordKeeper& records) {
  std::map<InstanceId, std::string> peers;
  for (const InstanceRecord& record : records.records()) {
    if (!record.alive || record.instance == self_) {
      continue;
    }
    peers[record.instance] = record.address;
    mesh_.SetPeer(record.instance, record.address, record.mesh_port, "");
  }
  for (const auto& [peer, address] : peers_) {
    if (!peers.contains(peer)) {
      mesh_.ForgetPeer(peer);
    }
  }
  peers_ = std::move(peers);
}

}  // namespace oleander::entry
