// Forwards the public interface of RequestTable to its implementation.
#include <utility>

#include "parts/requests_impl.h"

namespace oleander {

RequestTable::RequestTable(RequestTableOptions options, uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(options), seed)) {}
RequestTable::~RequestTable() = default;
RequestTable::RequestTable(RequestTable&&) noexcept = default;
RequestTable& RequestTable::operator=(RequestTable&&) noexcept = default;

void RequestTable::SetPeers(Time now, std::span<const PeerView> peers) {
  impl_->SetPeers(now, peers);
}
absl::StatusOr<RequestId> RequestTable::Accept(Time now, RequestSpec spec) {
  return impl_->Accept(now, std::move(spec));
}
FollowerId RequestTable::Follow(Time now, const RequestId& id, uint64_t from,
                                FollowMode mode) {
  return impl_->Follow(now, id, from, mode);
}
void RequestTable::Unfollow(Time now, FollowerId follower) {
  impl_->Unfollow(now, follower);
}
FollowerId RequestTable::Cancel(Time now, const RequestId& id) {
  return impl_->Follow(now, id, 0, FollowMode::kCancel);
}
void RequestTable::OnMessage(Time now, const InstanceId& from,
                             const RequestMessage& message) {
  impl_->OnMessage(now, from, message);
}
void RequestTable::OnAttemptStarted(Time now, const AttemptKey& key,
                                    const ServerId& server) {
  impl_->OnAttemptStarted(now, key, server);
}
void RequestTable::OnTokens(Time now, const AttemptKey& key,
                            uint64_t first_index,
                            std::span<const std::string> tokens) {
  impl_->OnTokens(now, key, first_index, tokens);
}
void RequestTable::OnAttemptEnded(Time now, const AttemptKey& key,
                                  const AttemptOutcome& outcome) {
  impl_->OnAttemptEnded(now, key, outcome);
}
void RequestTable::OnServerLost(Time now, const ServerId& server) {
  impl_->OnServerLost(now, server);
}
void RequestTable::ResumeElsewhere(Time now, const AttemptKey& key) {
  impl_->ResumeElsewhere(now, key);
}
void RequestTable::Drain(Time now, bool handover) {
  impl_->Drain(now, handover);
}
bool RequestTable::CanExit() const { return impl_->CanExit(); }
bool RequestTable::draining() const { return impl_->draining(); }
void RequestTable::Tick(Time now) { impl_->Tick(now); }
std::optional<Time> RequestTable::next_due() const { return impl_->next_due(); }
std::vector<RequestAction> RequestTable::TakeActions() {
  return impl_->TakeActions();
}
std::optional<RequestView> RequestTable::Query(const RequestId& id) const {
  return impl_->Query(id);
}
std::optional<ServerId> RequestTable::ServerOf(const AttemptKey& key) const {
  return impl_->ServerOf(key);
}
std::vector<AttemptKey> RequestTable::AttemptsOn(const ServerId& server) const {
  return impl_->AttemptsOn(server);
}
const RequestCounts& RequestTable::counts() const { return impl_->counts(); }
RequestGauges RequestTable::gauges() const { return impl_->gauges(); }

}  // namespace oleander
