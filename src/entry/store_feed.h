// Follows what operators and backend servers write into the store.
//
// A few instances read it (see reader_choice.h): the configuration whole about
// once a second, since each reading proves which version was the newest and a
// waiting call does not; the servers once and then by waiting calls, with a new
// listing after a gap. The others ask a reader about twice a second. An answer
// proves no more than was true when the question left, less the age that the
// reader tells. Who hears nothing fresh reads by itself.
#ifndef OLEANDER_ENTRY_STORE_FEED_H_
#define OLEANDER_ENTRY_STORE_FEED_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <vector>

#include "entry/call_context.h"
#include "entry/peer_mesh.h"
#include "entry/record_keeper.h"
#include "ports/catalog_port.h"
#include "ports/store_port.h"

namespace oleander::entry {

class StoreFeed {
 public:
  // `on_change` is called after each change of the configuration or of the
  // servers that may get work.
  StoreFeed(CallContext& context, ports::StorePort& store,
            const ports::CatalogPort& catalog, PeerMesh& peers, InstanceId self,
            std::function<void()> on_change)
      : context_(context),
        store_(store),
        catalog_(catalog),
        peers_(peers),
        self_(std::move(self)),
        on_change_(std::move(on_change)) {}

  // Called where the servers' births change the agreed clock.
  void OnClockChange(std::function<void(Duration change)> on_change) {
    on_clock_change_ = std::move(on_change);
  }
  void Start();
  // The store came back from an older copy.
  void OnNewEra();
  // Who serves, and so who reads, may have changed.
  void OnRecords(const RecordKeeper& records);
  // A message of a peer about the store.
  void OnMessage(const InstanceId& from, const mesh::Envelope& message);

 private:
  // The configuration.
  void Poll();
  bool ReadsStore() const;
  void ReadConfig();
  void OnConfig(Time sent_at, const absl::StatusOr<StoreRangeAnswer>& answer);
  // Takes the store's document where it is newer than the one in force.
  void ReadDocument(const StoreEntry& entry);
  void ApplyConfig(ServingConfigParts parts);
  // Whether the store in this era holds what operators wrote last.
  bool AreOperatorWritesRestored(Time sent_at) const;

  // The servers.
  void ListServers();
  void OnListed(const absl::StatusOr<StoreRangeAnswer>& answer);
  void WaitForServers();
  void OnChanges(const absl::StatusOr<ports::StoreChanges>& answer);
  void ApplyChange(const ports::StoreChange& change);
  void RetainChange(const ports::StoreChange& change);
  void ScheduleListing(Duration delay);
  void Publish();

  // The peers.
  // Whether a peer's word is of this era, which it may be the first to tell.
  bool ObserveEra(int64_t era, Duration age);
  void PollReader();
  void Reply(const InstanceId& peer, const entrywire::StoreAsk& query);
  void OnReply(const entrywire::StoreTell& reply);
  void ApplyLeaving(
      const google::protobuf::RepeatedPtrField<entrywire::LeavingServer>& wire);
  // The time of day is not before the servers' births.
  void CompareServerStarts();
  void ApplyServerChanges(const entrywire::StoreTell& reply, Time known_at);

  void RecordOutcome(std::string_view call, const absl::Status& status);
  void SetStoreUnreachable(bool unreachable, std::string_view call,
                           std::string_view reason);

  // A question that went to a reader.
  struct ReaderQuery {
    uint64_t round = 0;
    Time sent_at;
  };

  CallContext& context_;
  ports::StorePort& store_;
  const ports::CatalogPort& catalog_;
  PeerMesh& peers_;
  InstanceId self_;
  std::function<void()> on_change_;
  std::function<void(Duration)> on_clock_change_ = [](Duration) {};

  std::vector<InstanceId> readers_;       // Empty: everybody reads.
  std::deque<ReaderQuery> open_queries_;  // The newest last.
  uint64_t round_ = 0;
  bool reading_config_ = false;
  Time config_sent_at_;
  // The document that the store was last seen to hold in this era: its revision
  // there, and the operators' number; nothing where it can't be read.
  int64_t document_revision_ = 0;
  std::optional<int64_t> document_version_;

  int64_t watched_revision_ = 0;  // The revision up to which servers are known.
  // The last changes, for peers that ask, and the revision before the first.
  std::deque<ports::StoreChange> changes_;
  int64_t changes_after_ = 0;
  // When the last own reading left that the store answered.
  std::optional<Time> last_read_sent_at_;
  Time servers_fresh_at_;  // When the servers were last known to be up to date.
  bool listing_ = false;   // A listing is under way.
  bool waiting_ = false;   // A call waits for changes of the servers.
  uint64_t wait_round_ = 0;  // Answers of earlier rounds are ignored.
  uint64_t published_ = 0;
  bool store_unreachable_ = false;
  io::Timer poll_timer_;
  io::Timer listing_timer_;
  io::Timer listed_timer_;
};

}  // namespace oleander::entry

#endif  // OLEANDER_ENTRY_STORE_FEED_H_
