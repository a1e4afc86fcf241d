// Keeps the configuration in force up to date.
//
// A reader asks the store about once a second for changes of the configuration
// after the revision that it knows. The reply holds the configuration only if
// it has changed, and proves which version was the newest when the call was
// sent. The other instances receive proofs with the replies of StoreFeed, and
// the configuration from peers (see oleander/config_follower.h). An instance
// whose proof is too old asks the store itself in the same way.
#ifndef OLEANDER_ENTRY_CONFIG_FEED_H_
#define OLEANDER_ENTRY_CONFIG_FEED_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "entry/call_context.h"
#include "entry/config_steps.h"
#include "entry/peer_mesh.h"
#include "oleander/config_follower.h"
#include "oleander/config_tree.h"
#include "ports/catalog_port.h"
#include "ports/store_port.h"

namespace oleander::entry {

// Owned by StoreFeed; updates the configuration and its proof in the
// CallContext.
class ConfigFeed {
 public:
  // Called with the kind and the outcome of each store call.
  using StoreCallObserver =
      std::function<void(std::string_view call, const absl::Status& status)>;

  // `on_change` is called after each change of the configuration.
  ConfigFeed(CallContext& context, ports::StorePort& store,
             const ports::CatalogPort& catalog, PeerMesh& peers,
             InstanceId self, std::function<void()> on_change,
             StoreCallObserver on_store_call)
      : context_(context),
        store_(store),
        catalog_(catalog),
        peers_(peers),
        self_(std::move(self)),
        on_change_(std::move(on_change)),
        on_store_call_(std::move(on_store_call)),
        follower_(FollowerOptions(self_)) {}

  void Start();
  // Discards what is known by revisions of the earlier era.
  void OnNewEra();
  void SetFleet(std::vector<InstanceId> readers, const ConfigTree& tree);

  // What a peer replied about the newest configuration.
  struct PeerReport {
    int64_t version = 0;
    // The version is the newest up to this revision of the store; 0: unknown.
    int64_t revision = 0;
    // When the version was proven to be the newest, if it was.
    std::optional<Time> proven_at;
  };
  void OnPeerReport(const InstanceId& from, const PeerReport& report);
  // Handles an announcement, a query or a reply about configurations.
  void OnMessage(const InstanceId& from, const mesh::Envelope& message);

  // Writes what this instance knows of the newest configuration, and reads what
  // a peer wrote in reply to a query that was sent at `asked_at`.
  template <typename Reply>
  void WriteReport(Reply& reply) const;
  template <typename Reply>
  static PeerReport ReadReport(const Reply& reply, Time asked_at);
  // When the last successful store call of this instance was sent.
  std::optional<Time> last_read_sent_at() const { return last_read_sent_at_; }

 private:
  // The configuration as of a revision of the store.
  struct Observation {
    int64_t revision = 0;            // 0: none in this era.
    std::optional<int64_t> version;  // Empty: it cannot be parsed.
  };

  // Spreads the instances that read the store because no peer answers.
  static ConfigFollowerOptions FollowerOptions(const InstanceId& self);

  // One polling round: confirms the version in force if that is due.
  void Poll();
  bool is_stale() const;
  std::optional<PeerReport> report() const;
  bool IsConfirmationDue() const;
  // Asks for changes after the last observation; without one reads the
  // configuration.
  void Confirm();
  void Read();
  // Reads the configuration unless it is long, so that a new instance doesn't
  // have to wait for its peers.
  void ReadIfShort();
  // Uses that read once it is known that the store was not restored shortly
  // before it: peers may have a newer version than a restored store.
  void UseShortRead();
  // Returns the round of a new call.
  uint64_t BeginCall();
  // Returns whether the call of this round is still in progress, and ends it.
  bool EndCall(uint64_t round);
  // The answer to the call in progress will be ignored.
  void AbandonCall();
  void OnRead(Time sent_at, const absl::StatusOr<StoreRangeAnswer>& answer);
  void OnChanges(Time sent_at,
                 const absl::StatusOr<ports::StoreChanges>& answer);
  // The last observation was made by a call that was sent at `sent_at`.
  void OnObserved(Time sent_at);
  // Parses the stored configuration and puts it in force if its version is
  // higher than that of the one in force.
  void ReadDocument(const StoreEntry& entry);
  // Returns whether the era has lasted long enough at `sent_at` for operators
  // to have written their newest configuration again.
  bool AreOperatorWritesRestored(Time sent_at) const;

  // Gets a newer configuration from where ConfigFollower says.
  void Follow();
  // Tells the calls whether the version in force may still be acted on.
  void UpdateSuperseded();
  void LogHeard(int64_t version, const InstanceId& from) const;
  // Asks for the first or the next part of a configuration.
  void Ask(const InstanceId& peer);
  void OnAsk(const InstanceId& from, const entrywire::ConfigAsk& query);
  void OnTell(const InstanceId& from, const entrywire::ConfigTell& reply);
  // Puts the received configuration in force.
  void OnTransfer(const InstanceId& from);

  // Puts a newer configuration in force and announces it to the children.
  void Apply(ServingConfigPtr config, std::string_view source, size_t bytes);
  void Announce() const;

  CallContext& context_;
  ports::StorePort& store_;
  const ports::CatalogPort& catalog_;
  PeerMesh& peers_;
  InstanceId self_;
  std::function<void()> on_change_;
  StoreCallObserver on_store_call_;

  std::vector<InstanceId> readers_;  // Empty: unknown.
  bool is_reader_ = false;
  std::vector<InstanceId> children_;
  ConfigFollower follower_;
  ConfigSteps steps_;
  // The configuration that is being received.
  ConfigTransfer transfer_;
  uint64_t round_ = 0;  // Replies to earlier queries are ignored.
  Time asked_at_;
  bool needs_whole_ = false;  // A change from a peer could not be applied.

  bool calling_ = false;  // A store call is in progress.
  uint64_t call_round_ = 0;
  Time call_sent_at_;
  Observation observed_;
  int64_t document_revision_ = 0;  // Of the last document that was parsed.
  std::optional<Time> last_read_sent_at_;
  struct ShortRead {
    Time sent_at;
    StoreRangeAnswer answer;
  };
  std::optional<ShortRead> short_read_;
  io::Timer poll_timer_;
  io::Timer confirm_timer_;
  io::Timer follow_timer_;
};

template <typename Reply>
void ConfigFeed::WriteReport(Reply& reply) const {
  const auto known = report();
  if (!known) {
    return;
  }
  reply.set_config_version(known->version);
  reply.set_config_revision(known->revision);
  if (known->proven_at) {
    reply.set_proof_age_us((context_.loop.now() - *known->proven_at).count());
  }
}

// The peer proved the version at most `proof_age_us` before it replied, so no
// earlier than that long before the query was sent.
template <typename Reply>
ConfigFeed::PeerReport ConfigFeed::ReadReport(const Reply& reply,
                                              Time asked_at) {
  PeerReport report{.version = reply.config_version(),
                    .revision = reply.config_revision(),
                    .proven_at = {}};
  if (reply.has_proof_age_us()) {
    report.proven_at = asked_at - Duration(reply.proof_age_us());
  }
  return report;
}

}  // namespace oleander::entry

#endif  // OLEANDER_ENTRY_CONFIG_FEED_H_
