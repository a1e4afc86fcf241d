#include "oleander/stream_origins.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace oleander {
namespace {

constexpr std::string_view kPrefix = "/oleander/streams/";
constexpr char kSeparator = '\n';

}  // namespace

std::string StreamOrigins::KeyOf(std::string_view attempt) {
  // An id of any length and with any characters gives a short key.
  return fmt::format("{}{:016x}", kPrefix,
                     XXH64(attempt.data(), attempt.size(), 0));
}

std::optional<StreamOrigin> StreamOrigins::Parse(std::string_view value) {
  const size_t separator = value.find(kSeparator);
  if (separator == std::string_view::npos) {
    return std::nullopt;
  }
  return StreamOrigin{
      .service = ServiceId(std::string(value.substr(0, separator))),
      .version = std::string(value.substr(separator + 1))};
}

void StreamOrigins::OnBegun(Time now, std::string_view attempt,
                            const StreamOrigin& origin) {
  Remember(now, attempt, origin);
  if (unwritten_.size() >= options_.max_records) {
    unwritten_.pop_front();
  }
  unwritten_.push_back({.key = KeyOf(attempt),
                        .value = fmt::format("{}{}{}", origin.service.value(),
                                             kSeparator, origin.version),
                        .at = now});
  const Duration interval = std::clamp<Duration>(
      options_.write_interval_per_instance *
          static_cast<Duration::rep>(instances_),
      options_.min_write_interval, options_.max_write_interval);
  due_ = std::min(due_, now + interval);
}

void StreamOrigins::Remember(Time now, std::string_view attempt,
                             const StreamOrigin& origin) {
  const bool added = known_
                         .insert_or_assign(std::string(attempt),
                                           Known{.origin = origin, .at = now})
                         .second;
  if (added) {
    oldest_.emplace_back(attempt);
  }
  const auto is_old = [&](const std::string& known) {
    return now - known_.at(known).at >= options_.stream_lifetime;
  };
  while (oldest_.size() > options_.max_records || is_old(oldest_.front())) {
    known_.erase(oldest_.front());
    oldest_.pop_front();
  }
}

const StreamOrigin* StreamOrigins::Find(std::string_view attempt) const {
  const auto found = known_.find(attempt);
  return found == known_.end() ? nullptr : &found->second.origin;
}

void StreamOrigins::Tick(Time now) {
  if (now < due_) {
    return;
  }
  due_ = Time::max();
  while (!unwritten_.empty() &&
         now - unwritten_.front().at >= options_.stream_lifetime) {
    unwritten_.pop_front();
  }
  if (has_lease(now)) {
    WriteAll();
  } else if (!leasing_ && !unwritten_.empty()) {
    leasing_ = true;
    StoreLeaseGrant grant;
    grant.ttl = options_.lease_ttl;
    actions_.emplace_back(grant);
  }
}

void StreamOrigins::WriteAll() {
  while (!unwritten_.empty()) {
    const size_t count =
        std::min(unwritten_.size(), options_.max_records_per_call);
    const auto end = unwritten_.begin() + static_cast<std::ptrdiff_t>(count);
    StoreCas write;
    write.call = ++last_call_;
    std::vector<Record>& batch = open_[write.call];
    batch.assign(std::make_move_iterator(unwritten_.begin()),
                 std::make_move_iterator(end));
    unwritten_.erase(unwritten_.begin(), end);
    std::ranges::transform(
        batch, std::back_inserter(write.puts), [this](const Record& record) {
          return StorePut{
              .key = record.key, .value = record.value, .lease = lease_};
        });
    actions_.emplace_back(std::move(write));
  }
}

std::vector<StoreRequest> StreamOrigins::TakeActions() {
  return std::exchange(actions_, {});
}

void StreamOrigins::OnLease(Time now,
                            const absl::StatusOr<StoreLeaseAnswer>& answer) {
  leasing_ = false;
  if (!answer.ok() || answer->ttl <= Duration::zero()) {
    due_ = std::min(due_, now + options_.retry_interval);
    return;
  }
  lease_ = answer->lease;
  leased_at_ = now;
  due_ = now;
}

void StreamOrigins::OnCas(Time now, StoreCall call,
                          const absl::StatusOr<StoreCasAnswer>& answer) {
  const auto node = open_.extract(call);
  if (node.empty() || (answer.ok() && answer->succeeded)) {
    return;
  }
  // The lease may have ended, for example with an older copy of the store.
  lease_ = 0;
  std::ranges::copy(node.mapped(), std::front_inserter(unwritten_));
  while (unwritten_.size() > options_.max_records) {
    unwritten_.pop_front();
  }
  due_ = std::min(due_, now + options_.retry_interval);
}

}  // namespace oleander
