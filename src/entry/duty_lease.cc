#include "entry/duty_lease.h"

#include <utility>
#include <variant>

#include "io/log.h"

namespace oleander::entry {
namespace {

// The store lets a call wait for at most 30 s.
constexpr Duration kMaxWatchWait = std::chrono::seconds(25);
constexpr Duration kWatchRetryInterval = std::chrono::seconds(2);

template <typename... Visitors>
struct Overloaded : Visitors... {
  using Visitors::operator()...;
};

}  // namespace

DutyLease::DutyLease(io::EventLoop& loop, ports::StorePort& store,
                     EntryMetrics& metrics, LeaseOptions options, uint64_t seed,
                     std::function<void()> on_taken)
    : loop_(loop),
      store_(store),
      metrics_(metrics),
      keeper_(std::move(options), seed, loop.now()),
      on_taken_(std::move(on_taken)) {}

void DutyLease::Want(bool want) {
  wanted_ = want;
  keeper_.Want(want, loop_.now());
  Drive();
  if (want && !watching_) {
    Watch();
  }
}

void DutyLease::OnEra(const StoreEra& era) {
  const Time now = loop_.now();
  keeper_.OnEra(era.current(), era.age(now), now);
  if (watched_era_ != 0 && watched_era_ != era.current()) {
    // Revisions start again in a new era, so changes up to the watched revision
    // may be new ones.
    ++watch_round_;
    watched_revision_ = 0;
    watching_ = false;
    if (wanted_) {
      watch_timer_ = loop_.After(kWatchRetryInterval, [this] { Watch(); });
    }
  }
  watched_era_ = era.current();
  Drive();
}

void DutyLease::Watch() {
  watching_ = true;
  const uint64_t round = ++watch_round_;
  store_.Wait({.prefix = keeper_.key(),
               .after_revision = watched_revision_,
               .max_wait = kMaxWatchWait},
              [this, round](const auto& answer) { OnChanges(round, answer); });
}

void DutyLease::OnChanges(uint64_t round,
                          const absl::StatusOr<ports::StoreChanges>& answer) {
  metrics_.CountStoreCall("lease_wait", answer.ok());
  if (round != watch_round_) {
    return;
  }
  watching_ = false;
  if (!wanted_) {
    return;
  }
  if (!answer.ok()) {
    // The periodic checks of the keeper find changes that were missed.
    watched_revision_ = 0;
    watch_timer_ = loop_.After(kWatchRetryInterval, [this] { Watch(); });
    return;
  }
  const bool removed =
      !answer->changes.empty() && answer->changes.back().removed;
  watched_revision_ = answer->revision;
  if (removed) {
    keeper_.CheckNow(loop_.now());
    Drive();
  }
  Watch();
}

std::optional<int64_t> DutyLease::FenceFor(Duration order_time) const {
  return keeper_.FenceFor(loop_.now(), order_time);
}

void DutyLease::Drive() {
  keeper_.Tick(loop_.now());
  for (const LeaseAction& action : keeper_.TakeActions()) {
    std::visit(
        Overloaded{
            [this](const StoreRequest& request) { Send(request); },
            [this](const LeaseTaken& taken) {
              io::Log(io::LogLevel::kInfo, "duty.taken",
                      {{"key", keeper_.key()}, {"fence", taken.fence}});
              on_taken_();
            },
            [this](const LeaseDropped& dropped) {
              io::Log(io::LogLevel::kInfo, "duty.dropped",
                      {{"key", keeper_.key()},
                       {"fence", dropped.fence},
                       {"reason", dropped.reason}});
            },
            [this](const LeaseDeferred& deferred) {
              io::Log(
                  io::LogLevel::kInfo, "duty.deferred",
                  {{"key", keeper_.key()},
                   {"ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                              deferred.wait)
                              .count()}});
            }},
        action);
  }
  const Time due = keeper_.next_due();
  if (due == Time::max()) {
    timer_.Cancel();
    return;
  }
  timer_ = loop_.After(due - loop_.now(), [this] { Drive(); });
}

void DutyLease::Send(const StoreRequest& request) {
  const auto count_call = [this](const absl::Status& status) {
    metrics_.CountStoreCall("lease", status.ok());
  };
  std::visit(
      Overloaded{
          [&](const StoreLeaseGrant& grant) {
            store_.LeaseGrant(grant, [this, count_call,
                                      call = grant.call](const auto& answer) {
              count_call(answer.status());
              keeper_.OnLease(call, answer, loop_.now());
              Drive();
            });
          },
          [&](const StoreLeaseKeepAlive& renewal) {
            store_.LeaseKeepAlive(
                renewal,
                [this, count_call, call = renewal.call](const auto& answer) {
                  count_call(answer.status());
                  keeper_.OnLease(call, answer, loop_.now());
                  Drive();
                });
          },
          [&](const StoreLeaseRevoke& revoke) {
            store_.LeaseRevoke(revoke, [count_call](const auto& answer) {
              count_call(answer.status());
            });
          },
          [&](const StoreCas& cas) {
            store_.Cas(cas,
                       [this, count_call, call = cas.call](const auto& answer) {
                         count_call(answer.status());
                         keeper_.OnCas(call, answer, loop_.now());
                         Drive();
                       });
          },
          [&](const StoreRange& range) {
            store_.Range(range, [this, count_call,
                                 call = range.call](const auto& answer) {
              count_call(answer.status());
              keeper_.OnRange(call, answer, loop_.now());
              Drive();
            });
          },
          // A lease keeper uses no watches of its own.
          [](const StoreWatch&) {}, [](const StoreCancelWatch&) {}},
      request);
}

}  // namespace oleander::entry
