// Keeps the list of backend servers up to date from the store, and with
// ConfigFeed the configuration.
//
// A few instances, the readers, read the store (see reader_choice.h). They list
// the servers once and then follow them with waiting calls; after a gap in the
// changes they list the servers again. The other instances poll a reader over
// the mesh about twice a second. A reply proves only what was true when the
// query was sent, minus the age that the reader reports. An instance that gets
// no fresh replies reads the store itself.
#ifndef OLEANDER_ENTRY_STORE_FEED_H_
#define OLEANDER_ENTRY_STORE_FEED_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <vector>

#include "entry/call_context.h"
#include "entry/config_feed.h"
#include "entry/pace_exchange.h"
#include "entry/peer_mesh.h"
#include "entry/record_keeper.h"
#include "entry/rollout_feed.h"
#include "ports/catalog_port.h"
#include "ports/store_port.h"

namespace oleander::entry {

// Owned by the entry node; updates the listed servers and the server loads in
// the CallContext.
class StoreFeed {
 public:
  // `on_change` is called after each change of the configuration or of the
  // servers that may receive work.
  StoreFeed(CallContext& context, ports::StorePort& store,
            const ports::CatalogPort& catalog, PeerMesh& peers, InstanceId self,
            std::function<void()> on_change)
      : context_(context),
        store_(store),
        catalog_(catalog),
        peers_(peers),
        self_(std::move(self)),
        on_change_(std::move(on_change)),
        config_(context, store, catalog, peers, self_, on_change_,
                [this](std::string_view call, const absl::Status& status) {
                  RecordOutcome(call, status);
                }) {}

  // Sets the callback for corrections of the agreed clock that follow from the
  // start times of the servers.
  void OnClockChange(std::function<void(Duration change)> on_change) {
    on_clock_change_ = std::move(on_change);
  }
  // Lets the replies carry what is known of roll-outs, in both directions.
  void SetRollouts(RolloutFeed* rollouts) { rollouts_ = rollouts; }
  void Start();
  // Discards the revisions and changes of the earlier era and lists the servers
  // again. Called after the store was restored from an older copy. An era is
  // one generation of the content of the store; each such restore begins a new
  // one.
  void OnNewEra();
  // Chooses the readers again, since the live instances may have changed.
  void OnRecords(const RecordKeeper& records);
  // Tells the readers the evidence of crashed servers soon, together with what
  // is learned until then. Otherwise it goes along with queries and replies.
  void PushCrashNews();
  // Handles a message about the store, a configuration or evidence.
  void OnMessage(const InstanceId& from, const mesh::Envelope& message);

 private:
  // One polling round: a reader reads the store; any other instance polls a
  // reader, and reads the store itself if its data is too old.
  void Poll();
  // Returns whether this instance is a reader.
  bool ReadsStore() const;

  void ListServers();
  void OnListed(const absl::StatusOr<StoreRangeAnswer>& answer);
  void WaitForServers();
  void OnChanges(const absl::StatusOr<ports::StoreChanges>& answer);
  void ApplyChange(const ports::StoreChange& change);
  // Retains a change for peers that poll this instance.
  void RetainChange(const ports::StoreChange& change);
  // Abandons the waiting call, if any, and lists the servers after `delay`.
  void ScheduleListing(Duration delay);
  // Passes the servers on to placement and the clock if they have changed.
  void Publish();

  // Returns whether data from a peer is of the current era. Starts a new era if
  // the peer is the first to report it.
  bool ObserveEra(int64_t era, Duration age);
  // Sends a query to the next reader, round robin.
  void PollReader();
  // A reader that sizes the fleet asks the other readers for loads alone.
  void PollReaderForLoads();
  mesh::Envelope MakeQuery();
  void SendQuery(const InstanceId& reader, const mesh::Envelope& query,
                 bool for_loads);
  void SendCrashNews();
  // Answers the query of a peer.
  void Reply(const InstanceId& peer, const entrywire::StoreAsk& query);
  // Applies the reply to a query of this instance; ignores any other reply.
  void OnReply(const InstanceId& from, const entrywire::StoreTell& reply);
  void ApplyLeaving(
      const google::protobuf::RepeatedPtrField<entrywire::LeavingServer>& wire);
  void ApplyLimits(
      const google::protobuf::RepeatedPtrField<entrywire::ServerLimit>& wire);
  // Checks the agreed clock against the start times of the servers, which
  // cannot lie in the future.
  void CompareServerStarts();
  // Logs servers whose learned pace has changed by half, and updates the
  // metrics.
  void RecordPace();
  void ApplyServerChanges(const entrywire::StoreTell& reply, Time known_at);

  // Counts a store call and updates whether the store is reachable.
  void RecordOutcome(std::string_view call, const absl::Status& status);
  void SetStoreUnreachable(bool unreachable, std::string_view call,
                           std::string_view reason);

  // A query that was sent to a reader and may still be answered.
  struct ReaderQuery {
    uint64_t round = 0;
    Time sent_at;
    bool for_loads = false;  // The rest of the reply is ignored.
  };

  CallContext& context_;
  ports::StorePort& store_;
  const ports::CatalogPort& catalog_;
  PeerMesh& peers_;
  InstanceId self_;
  std::function<void()> on_change_;
  std::function<void(Duration)> on_clock_change_ = [](Duration) {};
  ConfigFeed config_;
  RolloutFeed* rollouts_ = nullptr;  // Null: the deployment has none.
  PaceExchange pace_ = PaceExchange(context_.placement);

  std::vector<InstanceId> readers_;       // Empty: every instance reads.
  std::deque<ReaderQuery> open_queries_;  // Newest last.
  uint64_t round_ = 0;
  int64_t watched_revision_ = 0;  // The servers are known up to this revision.
  // The most recent changes, for peers that poll, and the revision after which
  // they are complete.
  std::deque<ports::StoreChange> changes_;
  int64_t changes_after_ = 0;
  Time servers_fresh_at_;    // When the list of servers was last up to date.
  bool listing_ = false;     // A listing is in progress.
  bool waiting_ = false;     // A waiting call for server changes is open.
  uint64_t wait_round_ = 0;  // Responses to earlier rounds are ignored.
  uint64_t published_ = 0;   // The generation of the list last published.
  bool store_unreachable_ = false;
  io::Timer poll_timer_;
  io::Timer crash_news_timer_;
  io::Timer listing_timer_;
  io::Timer listed_timer_;
};

}  // namespace oleander::entry

#endif  // OLEANDER_ENTRY_STORE_FEED_H_
