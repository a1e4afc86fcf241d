#include "entry/rollout_feed.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <limits>
#include <ranges>
#include <tuple>

#include "entry/rollout_codec.h"
#include "io/log.h"
#include "oleander/result_code.h"

namespace oleander::entry {
namespace {

constexpr const char* kRecordsPrefix = "/oleander/rollouts/";
// The revision of an order is the era of the store, shifted left by this, plus
// the revision of its entry, so that it grows across eras.
constexpr int kRevisionBits = 40;
// An instance that was told nothing for this long reads the store itself.
constexpr Duration kMaxTellAge = std::chrono::seconds(3);
// As long may a version that is new in the list wait for peers to tell the
// orders; then this instance reads them itself.
constexpr Duration kMaxUnplacedTime = std::chrono::seconds(1);

int64_t EraOf(int64_t order_revision) {
  return order_revision >> kRevisionBits;
}

// The later of two stages of a service is the one with the greater key.
std::tuple<int64_t, int64_t> AgeKey(const RolloutStage& stage) {
  return {stage.order_revision, stage.step};
}

template <typename Map>
auto Values(const Map& map) {
  return std::views::values(map);
}

}  // namespace

RolloutFeed::RolloutFeed(CallContext& context, ports::StorePort& store,
                         const ports::CatalogPort& catalog,
                         std::function<void()> on_change)
    : context_(context),
      catalog_(catalog),
      on_change_(std::move(on_change)),
      orders_follower_(
          context.loop, store, catalog.rollout_orders_prefix(),
          [this] { OnOrders(); },
          [&context](std::string_view call, const absl::Status& status) {
            context.metrics.CountStoreCall(call, status.ok());
          }),
      records_(
          context.loop, store, kRecordsPrefix, [this] { OnRecords(); },
          [&context](std::string_view call, const absl::Status& status) {
            context.metrics.CountStoreCall(call, status.ok());
          }) {}

void RolloutFeed::Start() {
  told_at_ = context_.loop.now();
  Confirm();
}

void RolloutFeed::Follow(bool reads_store) {
  reads_store_ = reads_store;
  const bool untold = context_.loop.now() - told_at_ > kMaxTellAge;
  orders_follower_.Follow(reads_store_ || holds_ || untold);
  records_.Follow(reads_store_ || holds_ || untold);
}

void RolloutFeed::Hold(bool holds) {
  holds_ = holds;
  Follow(reads_store_);
}

void RolloutFeed::OnNewEra() {
  orders_revision_ = 0;
  for (int64_t& first : std::views::values(versions_)) {
    first = std::min<int64_t>(first, 1);  // Revisions begin again.
  }
  orders_follower_.OnNewEra();
  records_.OnNewEra();
  Confirm();
}

void RolloutFeed::Confirm() {
  records_.Confirm();
  orders_follower_.Confirm();
}

void RolloutFeed::OnOrders() {
  const int64_t revision = orders_follower_.revision();
  if (revision < orders_revision_) {
    return;
  }
  std::map<ServiceId, RolloutOrder> orders;
  for (const StoreEntry& entry : Values(orders_follower_.entries())) {
    auto order = catalog_.ReadRolloutOrder(entry);
    if (!order.ok()) {
      LogUnreadable(entry, std::string(order.status().message()));
      // A newer order that can't be read doesn't end an earlier one.
      const ServiceId service = catalog_.RolloutServiceOf(entry.key);
      if (const auto known = orders_.find(service); known != orders_.end()) {
        orders.insert(*known);
      }
      continue;
    }
    order->revision += context_.era.current() << kRevisionBits;
    const auto known = orders_.find(order->service);
    if (known == orders_.end() || known->second != *order) {
      io::Log(io::LogLevel::kInfo, "rollout.ordered",
              {{"service", order->service.value()},
               {"to", order->target},
               {"duration_ms",
                std::chrono::duration_cast<std::chrono::milliseconds>(
                    order->duration)
                    .count()},
               {"revision", order->revision}});
    }
    orders.insert_or_assign(ServiceId(order->service), *order);
  }
  orders_revision_ = revision;
  orders_ = std::move(orders);
  PlaceVersions();
  OnContent();
  if (holds_) {
    on_change_();
  }
}

void RolloutFeed::OnRecords() {
  for (const StoreEntry& entry : Values(records_.entries())) {
    entrywire::RolloutRecord record;
    const bool parses = record.ParseFromString(entry.value);
    const auto stage = parses ? ReadStage(record.stage()) : std::nullopt;
    if (stage) {
      Take(*stage);
    } else {
      LogUnreadable(entry, "It is no record of a roll-out.");
    }
  }
  OnContent();
  if (holds_) {
    on_change_();
  }
}

void RolloutFeed::LogUnreadable(const StoreEntry& entry,
                                std::string_view reason) {
  int64_t& logged = unreadable_[entry.key];
  if (logged != entry.mod_revision) {
    logged = entry.mod_revision;
    io::Log(io::LogLevel::kError, "rollout.unreadable",
            {{"key", entry.key},
             {"revision", entry.mod_revision},
             {"reason", reason}});
  }
}

bool RolloutFeed::Take(const RolloutStage& stage) {
  const auto known = stages_.find(stage.service);
  if (known != stages_.end() && AgeKey(stage) <= AgeKey(known->second)) {
    return false;
  }
  stages_.insert_or_assign(stage.service, stage);
  return true;
}

bool RolloutFeed::TakeHolder(const RolloutHolder& holder) {
  if (holder.instance.empty() || (holder_ && holder.fence < holder_->fence)) {
    return false;
  }
  holder_ = holder;
  return true;
}

void RolloutFeed::WriteTell(uint64_t known_content,
                            entrywire::RolloutTell& tell) const {
  tell.set_store_era(context_.era.current());
  tell.set_orders_revision(orders_revision_);
  tell.set_content(content_);
  tell.set_unchanged(known_content == content_);
  if (!tell.unchanged()) {
    for (const RolloutOrder& order : Values(orders_)) {
      WriteOrder(order, *tell.add_orders());
    }
    for (const RolloutStage& stage : Values(stages_)) {
      WriteStage(stage, *tell.add_stages());
    }
  }
  if (holder_) {
    tell.set_holder(holder_->instance.value());
    tell.set_fence(holder_->fence);
  }
  if (stages_at_) {
    tell.set_stages_age_us((context_.loop.now() - *stages_at_).count());
  }
}

void RolloutFeed::OnTell(const entrywire::RolloutTell& tell, Time asked_at) {
  if (tell.orders_revision() != 0) {
    told_at_ = context_.loop.now();
  }
  const bool same_content = tell.unchanged() && tell.content() == content_;
  if (tell.unchanged() && !same_content) {
    return;  // The content here has changed since the query.
  }
  const bool same_era = tell.store_era() == context_.era.current();
  if (same_era && tell.orders_revision() > orders_revision_) {
    if (!same_content) {
      orders_.clear();
      for (const entrywire::RolloutOrder& wire : tell.orders()) {
        if (const auto order = ReadOrder(wire)) {
          orders_.emplace(order->service, *order);
        }
      }
    }
    orders_revision_ = tell.orders_revision();
    PlaceVersions();
  }
  const bool from_holder = TakeHolder(
      {.instance = InstanceId(tell.holder()), .fence = tell.fence()});
  for (const entrywire::RolloutStage& wire : tell.stages()) {
    if (const auto stage = ReadStage(wire)) {
      Take(*stage);
    }
  }
  // What an earlier holder or an older copy says doesn't renew a newer stage.
  if (from_holder && !KnowsNewer(tell) && tell.has_stages_age_us()) {
    const Time at =
        asked_at - Duration(std::max<int64_t>(0, tell.stages_age_us()));
    stages_at_ = std::max(stages_at_.value_or(at), at);
  }
  OnContent();
}

bool RolloutFeed::KnowsNewer(const entrywire::RolloutTell& tell) const {
  return std::ranges::any_of(tell.stages(), [this](const auto& wire) {
    const auto stage = ReadStage(wire);
    const auto known = stage ? stages_.find(stage->service) : stages_.end();
    return known != stages_.end() && AgeKey(*stage) < AgeKey(known->second);
  });
}

void RolloutFeed::OnDecided(const RolloutHolder& holder,
                            const std::vector<RolloutStage>& stages) {
  TakeHolder(holder);
  for (const RolloutStage& stage : stages) {
    Take(stage);
  }
  OnRenewed();
}

void RolloutFeed::OnRenewed() {
  stages_at_ = context_.loop.now();
  OnContent();
}

void RolloutFeed::OnServers(int64_t revision) {
  decltype(versions_) listed;
  bool is_new = false;
  for (const ListedServer* server : context_.listed.all()) {
    const std::pair key(server->service, server->version);
    const auto known = versions_.find(key);
    listed[key] = known == versions_.end() ? revision : known->second;
    is_new = is_new || known == versions_.end();
  }
  versions_ = std::move(listed);
  PlaceVersions();
  if (!is_new || !has_unplaced_) {
    return;
  }
  if (reads_store_ || holds_) {
    orders_follower_.Confirm();
  }
  confirm_timer_ = context_.loop.After(kMaxUnplacedTime, [this] {
    if (has_unplaced_) {
      orders_follower_.Confirm();
    }
  });
}

void RolloutFeed::PlaceVersions() {
  for (int64_t& first : std::views::values(versions_)) {
    const bool placed = orders_revision_ != 0 && first <= orders_revision_;
    first = placed ? 0 : first;
  }
  has_unplaced_ = std::ranges::any_of(Values(versions_),
                                      [](int64_t first) { return first != 0; });
}

std::vector<std::string> RolloutFeed::UnplacedVersions(
    const ServiceId& service) const {
  if (!has_unplaced_) {
    return {};
  }
  const auto begin = versions_.lower_bound({service, std::string()});
  const auto end = std::find_if(begin, versions_.end(), [&](const auto& row) {
    return row.first.first != service;
  });
  // The roll-out decides on the target of an order that is known.
  const auto order = orders_.find(service);
  const auto stage = stages_.find(service);
  const auto is_target = [&](const std::string& version) {
    return (order != orders_.end() && order->second.target == version) ||
           (stage != stages_.end() && stage->second.target == version);
  };
  std::vector<std::string> unplaced;
  for (auto row = begin; row != end; ++row) {
    if (row->second != 0 && !is_target(row->first.second)) {
      unplaced.push_back(row->first.second);
    }
  }
  const bool all = std::cmp_equal(unplaced.size(), std::distance(begin, end));
  if (all && !unplaced.empty()) {
    std::erase(unplaced, MainVersion(service));
  }
  return unplaced;
}

std::string RolloutFeed::MainVersion(const ServiceId& service) const {
  struct Servers {
    int64_t count = 0;
    int64_t first_start_ms = std::numeric_limits<int64_t>::max();
  };
  std::map<std::string, Servers> versions;
  for (const ListedServer* server : context_.listed.ready()) {
    if (server->service == service) {
      Servers& servers = versions[server->version];
      ++servers.count;
      servers.first_start_ms =
          std::min(servers.first_start_ms, server->started_ms);
    }
  }
  const auto main = std::ranges::max_element(versions, {}, [](const auto& row) {
    return std::pair(row.second.count, -row.second.first_start_ms);
  });
  return main == versions.end() ? std::string() : main->first;
}

bool RolloutFeed::is_active() const {
  return std::ranges::any_of(
      orders_, [this](const auto& row) { return is_active(row.first); });
}

bool RolloutFeed::is_active(const ServiceId& service) const {
  const auto order = orders_.find(service);
  const auto stage = stages_.find(service);
  if (order == orders_.end()) {
    return stage != stages_.end() && !stage->second.is_over();
  }
  return stage == stages_.end() || !stage->second.is_over() ||
         !IsStageOf(order->second, stage->second);
}

bool RolloutFeed::IsStageOf(const RolloutOrder& order,
                            const RolloutStage& stage) {
  return stage.target == order.target &&
         (stage.order_revision == order.revision ||
          EraOf(stage.order_revision) < EraOf(order.revision));
}

std::vector<RolloutOrder> RolloutFeed::orders() const {
  std::vector<RolloutOrder> orders;
  for (const RolloutOrder& order : Values(orders_)) {
    orders.push_back(order);
    const auto stage = stages_.find(order.service);
    if (stage != stages_.end() && IsStageOf(order, stage->second)) {
      orders.back().revision = stage->second.order_revision;
    }
  }
  return orders;
}

std::vector<RolloutStage> RolloutFeed::stages() const {
  std::vector<RolloutStage> stages;
  std::ranges::copy(Values(stages_), std::back_inserter(stages));
  return stages;
}

const StoreEntry* RolloutFeed::OrderEntry(const ServiceId& service) const {
  const auto found = orders_follower_.entries().find(
      catalog_.rollout_orders_prefix() + service.value());
  return found == orders_follower_.entries().end() ? nullptr : &found->second;
}

void RolloutFeed::Apply() {
  const Time now = context_.loop.now();
  std::vector<RolloutOrder> applied;
  for (const RolloutOrder& order : orders()) {
    const auto stage = stages_.find(order.service);
    const bool decided = stage != stages_.end() &&
                         stage->second.order_revision >= order.revision;
    // Before the holder has decided, an order back to the version that serves
    // must not stop it.
    if (decided || order.target != MainVersion(order.service)) {
      applied.push_back(order);
    }
  }
  context_.rollouts->SetOrders(now, applied);
  context_.rollouts->SetStages(stages_at_.value_or(Time()), stages());
}

void RolloutFeed::OnContent() {
  std::string text;
  for (const RolloutOrder& order : Values(orders_)) {
    text += fmt::format("{} {} {} {}\n", order.service.value(), order.target,
                        order.revision, order.duration.count());
  }
  for (const RolloutStage& stage : Values(stages_)) {
    text += fmt::format("{} {} {}\n", stage.service.value(),
                        stage.order_revision, stage.step);
  }
  const uint64_t content = XXH64(text.data(), text.size(), 0);
  const bool changed = content != content_;
  content_ = content;
  Apply();
  if (changed) {
    on_change_();
  }
}

}  // namespace oleander::entry
