// The mesh between entry instances on a platform: tells peers what this
// instance let through of quotas and takes in what they tell, and carries what
// the feeds of the store ask each other.
#ifndef OLEANDER_ENTRY_PEER_NEWS_H_
#define OLEANDER_ENTRY_PEER_NEWS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "entry/call_context.h"
#include "entry/record_keeper.h"
#include "io/mesh.h"
#include "oleander/workspace_quotas.h"

namespace oleander::entry {

class PeerNews {
 public:
  PeerNews(CallContext& context, WorkspaceQuotas& quotas,
           const EntrySettings& settings, uint64_t run);

  using Receiver = std::function<void(const InstanceId& from,
                                      const mesh::Envelope& message)>;
  // Gets the messages about the store.
  void OnStoreMessage(Receiver receiver) { receiver_ = std::move(receiver); }
  // What can't be sent is asked again or of another peer.
  void Send(const InstanceId& peer, const mesh::Envelope& message) {
    mesh_.Send(peer, message).IgnoreError();
  }

  absl::Status Listen() { return mesh_.Listen(); }
  void Start();
  // The peers are those that have a live record.
  void OnRecords(const RecordKeeper& records);
  // How long a peer may tell nothing before it counts as silent.
  Duration silent_after() const;

 private:
  void Tell();
  mesh::Envelope Message() const;
  void OnMessage(const InstanceId& from, const mesh::Envelope& message);
  Duration Period() const;

  CallContext& context_;
  WorkspaceQuotas& quotas_;
  InstanceId self_;
  uint64_t run_;
  uint64_t round_ = 0;
  std::map<InstanceId, std::string> peers_;  // With their addresses.
  Receiver receiver_;
  double told_asked_ = -1;  // The sum of what was told last.
  Time told_at_;
  io::Mesh mesh_;
  io::Timer timer_;
};

}  // namespace oleander::entry

#endif  // OLEANDER_ENTRY_PEER_NEWS_H_
