// Chooses the peer that relays a call of an instance that is cut off from the
// backend servers.
//
// Nothing tells which peers reach the servers, so the outcomes do: a peer that
// could not relay a call is avoided for a while, and its failure domain is
// chosen less, since a whole domain may be cut off. Peers nearby are preferred;
// among these, calls are spread by the peers' processor shares.
//
//   RelayChoice relays(location, seed);
//   relays.SetPeers(peers);
//   const auto peer = relays.Choose(now, /*tried=*/{});
//   relays.OnFailed(now, peer->instance);
#ifndef OLEANDER_RELAY_CHOICE_H_
#define OLEANDER_RELAY_CHOICE_H_

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "oleander/types.h"

namespace oleander {

struct RelayPeer {
  InstanceId instance;
  Location location;
  double cores = 0;
  std::string address;  // An IP address.

  bool operator==(const RelayPeer&) const = default;
};

struct RelayChoiceOptions {
  // A peer that failed isn't chosen for this long, unless all have failed.
  // Then one is tried for each call.
  Duration failure_cooldown = std::chrono::milliseconds(1000);
  // Factors of a peer's weight.
  double same_domain = 4;
  double other_region = 0.1;
  // In a domain where a peer is in cooldown.
  double suspect_domain = 0.1;
};

class RelayChoice {
 public:
  RelayChoice(Location self, uint64_t seed, RelayChoiceOptions options = {})
      : options_(options), self_(std::move(self)), gen_(seed) {}

  // Sets the other live instances.
  void SetPeers(std::vector<RelayPeer> peers) { peers_ = std::move(peers); }
  bool empty() const { return peers_.empty(); }

  // Returns a peer that isn't in `tried`, or nothing if no such peer is worth a
  // try.
  std::optional<RelayPeer> Choose(Time now,
                                  const std::vector<InstanceId>& tried);
  // The peer can't be reached, or doesn't reach the servers either.
  void OnFailed(Time now, const InstanceId& peer) { failed_[peer] = now; }
  void OnRelayed(const InstanceId& peer) { failed_.erase(peer); }

 private:
  bool InCooldown(Time now, const InstanceId& peer) const;
  double WeightOf(const RelayPeer& peer, bool suspect) const;

  RelayChoiceOptions options_;
  Location self_;
  std::mt19937_64 gen_;
  std::vector<RelayPeer> peers_;
  absl::flat_hash_map<InstanceId, Time> failed_;
};

}  // namespace oleander

#endif  // OLEANDER_RELAY_CHOICE_H_
