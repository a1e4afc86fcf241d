// What an instance knows of roll-outs: the operators' orders, and the stages
// that the holder of the duty decided.
//
// The readers follow both in the store; the other instances hear of them with
// the replies of StoreFeed. The holder tells all instances a new stage itself.
//
// Servers of a target start some time after the order. An instance must not
// send them calls before it knows of the order. So a version of a service that
// is listed for the first time gets no call, unless most servers have it, until
// the orders are known up to a revision at which the server was listed.
//
//   if (feed.tells()) feed.WriteTell(known_content, *reply.mutable_rollouts());
//   feed.OnTell(from, reply.rollouts(), sent_at);
//
// Designed for some roll-outs at a time and 360 instances.
#ifndef OLEANDER_ENTRY_ROLLOUT_FEED_H_
#define OLEANDER_ENTRY_ROLLOUT_FEED_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "entry.pb.h"
#include "entry/call_context.h"
#include "entry/prefix_follower.h"
#include "oleander/rollouts.h"
#include "ports/catalog_port.h"
#include "ports/store_port.h"

namespace oleander::entry {

// The instance that decides on the stages, and its fencing number.
struct RolloutHolder {
  InstanceId instance;
  int64_t fence = 0;
};

// Updates the RolloutSplit of the CallContext; owned by the entry node.
class RolloutFeed {
 public:
  // `on_change` is called after each change of the orders or stages, and while
  // this instance holds the duty after each read.
  RolloutFeed(CallContext& context, ports::StorePort& store,
              const ports::CatalogPort& catalog,
              std::function<void()> on_change);

  // Reads the orders and stages once.
  void Start();
  // Whether this instance reads the store now, for itself or its peers.
  void Follow(bool reads_store);
  // Whether this instance holds the duty, for which it reads the store, too.
  void Hold(bool holds);
  // The store was restored from an older copy. Stages stay as they are known.
  void OnNewEra();
  // The list of servers has changed; it is of this revision or an earlier one.
  void OnServers(int64_t revision);
  // Lists orders and stages now.
  void Confirm();

  // Writes what is known for a peer that has this content.
  void WriteTell(uint64_t known_content, entrywire::RolloutTell& tell) const;
  // Takes what a peer knew no earlier than `asked_at`.
  void OnTell(const entrywire::RolloutTell& tell, Time asked_at);
  // Returns whether the peer has an older stage than is known here.
  bool KnowsNewer(const entrywire::RolloutTell& tell) const;
  // Takes stages that this instance, as the holder, has decided on.
  void OnDecided(const RolloutHolder& holder,
                 const std::vector<RolloutStage>& stages);
  // This instance, as the holder, still decides that the stages hold.
  void OnRenewed();

  // Returns the versions of the service that must not get a call until the
  // orders are known.
  std::vector<std::string> UnplacedVersions(const ServiceId& service) const;

  // The orders, each with the revision that its stage names, if it has one.
  std::vector<RolloutOrder> orders() const;
  // The orders are complete up to this revision; 0: not known.
  int64_t orders_revision() const { return orders_revision_; }
  // The newest known stage of each roll-out.
  std::vector<RolloutStage> stages() const;
  // The entries of the stored records, as last read by this instance.
  const PrefixFollower::Entries& records() const { return records_.entries(); }
  int64_t records_revision() const { return records_.revision(); }
  // Returns the entry of the order in the store, if this instance has read it.
  const StoreEntry* OrderEntry(const ServiceId& service) const;
  // Returns whether a roll-out of any service, or of this one, isn't over.
  bool is_active() const;
  bool is_active(const ServiceId& service) const;
  const std::optional<RolloutHolder>& holder() const { return holder_; }
  // When the holder last said that the stages hold, as far as is known.
  std::optional<Time> stages_at() const { return stages_at_; }
  uint64_t content() const { return content_; }

 private:
  void OnOrders();
  void OnRecords();
  // Takes a stage if it is newer than the known one. Returns whether it was.
  bool Take(const RolloutStage& stage);
  bool TakeHolder(const RolloutHolder& holder);
  // The orders or stages have changed.
  void OnContent();
  // Hands orders and stages to the RolloutSplit.
  void Apply();
  // Returns whether the stage is of this order. After the store was restored
  // from an older copy, an order has another revision than before.
  static bool IsStageOf(const RolloutOrder& order, const RolloutStage& stage);
  // Returns the version that most servers of the service have; of two with as
  // many servers, the one whose first server started earlier.
  std::string MainVersion(const ServiceId& service) const;
  // Places the versions up to whose revision the orders are known.
  void PlaceVersions();
  void LogUnreadable(const StoreEntry& entry, std::string_view reason);

  CallContext& context_;
  const ports::CatalogPort& catalog_;
  std::function<void()> on_change_;
  PrefixFollower orders_follower_;
  PrefixFollower records_;
  bool reads_store_ = false;
  bool holds_ = false;

  std::map<ServiceId, RolloutOrder> orders_;
  int64_t orders_revision_ = 0;
  std::map<ServiceId, RolloutStage> stages_;
  std::optional<RolloutHolder> holder_;
  std::optional<Time> stages_at_;
  uint64_t content_ = 0;
  Time told_at_;  // When a peer last told the orders.
  // Versions that are listed, by service, with the revision at which they were
  // first listed; 0 once the orders were known up to it.
  std::map<std::pair<ServiceId, std::string>, int64_t> versions_;
  bool has_unplaced_ = false;
  // The revision of each unreadable entry that was logged.
  std::map<std::string, int64_t> unreadable_;
  io::Timer confirm_timer_;
};

}  // namespace oleander::entry

#endif  // OLEANDER_ENTRY_ROLLOUT_FEED_H_
