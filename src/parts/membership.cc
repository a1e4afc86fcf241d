#include "oleander/membership.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

#include "parts/membership_impl.h"

namespace oleander {

Membership::Membership(InstanceInfo self, const MembershipOptions& options,
                       uint64_t seed, Time now)
    : impl_(std::make_unique<Impl>(std::move(self), options, seed, now)) {}

Membership::~Membership() = default;
Membership::Membership(Membership&&) noexcept = default;
Membership& Membership::operator=(Membership&&) noexcept = default;

void Membership::SetCandidates(const std::vector<InstanceInfo>& candidates,
                               Time now) {
  impl_->SetCandidates(candidates, now);
}

void Membership::OnMessage(const InstanceId& from,
                           const MembershipMessage& message, Time now) {
  impl_->OnMessage(from, message, now);
}

void Membership::Leave(Time now) { impl_->Leave(now); }
void Membership::Depart(Time now) { impl_->Depart(now); }
void Membership::Tick(Time now) { impl_->Tick(now); }
Time Membership::next_due() const { return impl_->next_due(); }

std::vector<MembershipAction> Membership::TakeActions() {
  return impl_->TakeActions();
}

std::vector<Member> Membership::members() const {
  std::vector<Member> members;
  std::ranges::transform(impl_->table().entries(), std::back_inserter(members),
                         [](const auto& item) { return item.second.member; });
  return members;
}

std::optional<Member> Membership::Find(const InstanceId& id) const {
  const parts::MemberEntry* entry = impl_->table().Find(id);
  return entry == nullptr ? std::nullopt : std::optional(entry->member);
}

std::vector<InstanceInfo> Membership::LiveIn(const DomainId& domain) const {
  std::vector<InstanceInfo> live;
  for (const auto& [id, entry] : impl_->table().entries()) {
    if (entry.member.reachable() &&
        entry.member.info.location.domain == domain) {
      live.push_back(entry.member.info);
    }
  }
  if (self().location.domain == domain) {
    live.push_back(self());
    std::ranges::sort(live, {}, &InstanceInfo::id);
  }
  return live;
}

std::vector<InstanceId> Membership::neighbours() const {
  std::vector<InstanceId> ids;
  std::ranges::transform(impl_->links(), std::back_inserter(ids),
                         [](const auto& item) { return item.first; });
  return ids;
}

size_t Membership::live_count() const {
  return impl_->table().live_count() + 1;
}

uint64_t Membership::incarnation() const { return impl_->incarnation(); }
const InstanceInfo& Membership::self() const { return impl_->self(); }
const MembershipCounters& Membership::counters() const {
  return impl_->counters();
}

std::string_view MemberStateName(MemberState state) {
  constexpr std::array<std::string_view, 4> kNames = {"alive", "leaving",
                                                      "suspect", "dead"};
  return kNames[static_cast<size_t>(state)];
}

}  // namespace oleander
