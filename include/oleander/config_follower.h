// Decides from where an instance gets a newer configuration.
//
// A configuration can be hundreds of kilobytes long. If every instance read it
// from the key-value service, a change would fill the links of whole regions
// with copies. So only the readers (see reader_choice.h) read it there, and it
// spreads from them along a tree: a reader announces it to the first instance
// of each domain, each instance to its children in its own domain (see
// config_tree.h), and the receiver asks the sender for it. An instance that
// heard of a newer version elsewhere waits for its parent's announcement for a
// moment, then asks the one that it heard of it from, then readers, and at last
// reads the service itself.
//
//   ConfigFollower follower;
//   follower.SetFleet({.parent = parent, .readers = readers});
//   follower.OnHeard(now, version, from);
//   if (const auto source = follower.SourceDue(now)) {
//     follower.OnAsked(now, *source);
//     source->peer.empty() ? ReadService() : Ask(source->peer);
//   }
#ifndef OLEANDER_CONFIG_FOLLOWER_H_
#define OLEANDER_CONFIG_FOLLOWER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "oleander/types.h"

namespace oleander {

struct ConfigFollowerOptions {
  // Time for the announcement of the parent to arrive.
  Duration parent_grace = std::chrono::milliseconds(500);
  // Time for a reply of a peer, which may be a part of a configuration, and the
  // pause after one without a newer version.
  Duration reply_timeout = std::chrono::milliseconds(600);
  Duration retry = std::chrono::milliseconds(250);
  // An instance that stays behind for this long reads the service itself.
  // Without a configuration it waits longer for peers that have none either,
  // but not as long for silent ones.
  Duration read_after = std::chrono::milliseconds(1300);
  Duration first_read_after = std::chrono::milliseconds(3000);
  Duration first_read_alone = std::chrono::milliseconds(1000);
  size_t tries_alone = 3;  // Unanswered ones, after which peers are silent.
  // Between two reads of the service by an instance that stays behind.
  Duration read_retry = std::chrono::milliseconds(1500);
  // Operators expect a change to be in force everywhere within this time.
  Duration superseded_after = std::chrono::milliseconds(2500);
  // A newer version is known to be in force elsewhere for this long after it
  // was mentioned.
  Duration mention_validity = std::chrono::milliseconds(2000);
};

class ConfigFollower {
 public:
  // What this instance knows of the others, without itself. A reader reads the
  // service on its own schedule.
  struct Fleet {
    bool is_reader = false;
    InstanceId parent = {};  // Empty: none.
    std::vector<InstanceId> readers = {};
  };
  // The peer to ask; empty: the service.
  struct Source {
    InstanceId peer;
  };

  explicit ConfigFollower(ConfigFollowerOptions options = {})
      : options_(options) {}

  // The instance starts without a configuration.
  void Start(Time now) { behind_since_ = now; }
  void SetFleet(Fleet fleet) { fleet_ = std::move(fleet); }
  // `from` mentioned in another message that it has `version` in force.
  void OnHeard(Time now, int64_t version, const InstanceId& from);
  // `from` announced that it has put `version` in force.
  void OnAnnounced(Time now, int64_t version, const InstanceId& from);
  // `version` is in force here now.
  void OnApplied(Time now, int64_t version);
  // This instance has asked `source`.
  void OnAsked(Time now, const Source& source);
  // A part of a configuration has arrived, and the next one was requested.
  void OnProgress(Time now);
  // `from` replied that it has nothing newer.
  void OnNothingNewer(Time now, const InstanceId& from);
  // A read of the service that was sent at `requested_at` showed that the
  // version in force here is the newest: no announcement before it holds.
  void OnConfirmed(Time requested_at);

  // Returns what to ask now, if anything.
  std::optional<Source> SourceDue(Time now) const;
  // Returns since when a newer version is known that is not in force here;
  // empty if there is none, or before the first configuration.
  std::optional<Time> behind_since() const;
  // Returns whether the version in force should have been replaced by now: an
  // instance within reach has a newer one, which this instance could not get in
  // time. An instance that is cut off from all others goes on with its own.
  bool is_superseded(Time now) const;
  // Returns whether there is no configuration in force or a newer one is known.
  bool is_behind() const { return in_force_ == 0 || heard_ > in_force_; }
  int64_t heard() const { return heard_; }

 private:
  void Await(Time now) { awaits_until_ = now + options_.reply_timeout; }
  bool IsReadDue(Time now) const;
  // Returns the peer for the next try; empty if there is none to ask.
  InstanceId NextPeer(Time now) const;

  ConfigFollowerOptions options_;
  Fleet fleet_;
  int64_t in_force_ = 0;
  int64_t heard_ = 0;
  InstanceId heard_from_;
  Time heard_at_;
  Time mentioned_at_;  // When a newer version was last mentioned by anyone.
  Time behind_since_;
  Time next_try_;          // No peer is asked earlier.
  Time awaits_until_;      // A peer may still reply.
  size_t tries_ = 0;       // Queries since the instance is behind.
  size_t unanswered_ = 0;  // Queries since the last reply.
  // The last reply without a newer version of any peer, and of the parent.
  std::optional<Time> replied_at_;
  std::optional<Time> parent_replied_at_;
  std::optional<Time> read_at_;  // The last read since the instance is behind.
};

}  // namespace oleander

#endif  // OLEANDER_CONFIG_FOLLOWER_H_
