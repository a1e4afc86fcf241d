// ProfileStore: changes from the key-value service, by an initial read, a
// watch, and slow polls in case the watch misses a change.
#include <algorithm>
#include <utility>

#include "oleander/result_code.h"
#include "parts/profiles_impl.h"

namespace oleander {

void ProfileStore::Impl::TickReads(Time now) {
  if (now >= next_read_) {
    ReadAll(now);
  }
  if (now >= next_head_) {
    ReadHead(now);
  }
}

void ProfileStore::Impl::ReadAll(Time now) {
  read_call_ = NextCall();
  ScheduleRead(now);
  if (watch_phase_ == WatchPhase::kOff && watcher_) {
    watch_phase_ = WatchPhase::kReading;
  }
  SendStoreRequest(
      StoreRange{.call = read_call_, .key = options_.prefix, .prefix = true});
}

void ProfileStore::Impl::ReadHead(Time now) {
  head_call_ = NextCall();
  next_head_ = now + Jittered(options_.head_poll_interval);
  SendStoreRequest(StoreRange{
      .call = head_call_, .key = options_.head_key, .prefix = false});
}

// The interval grows with the number of instances of the domain, so that these
// read all profiles once per `poll_interval` together.
void ProfileStore::Impl::ScheduleRead(Time now) {
  const bool isolated = freshness(now).stale || !ready_ ||
                        (watcher_ && watch_phase_ != WatchPhase::kWatching);
  const auto domain_size =
      static_cast<int64_t>(LiveIn(self_.location.domain).size());
  const Duration interval =
      isolated ? options_.isolated_poll_interval
               : options_.poll_interval * std::max<int64_t>(1, domain_size);
  next_read_ = now + Jittered(interval);
}

void ProfileStore::Impl::OnRange(StoreCall call,
                                 const absl::StatusOr<StoreRangeAnswer>& answer,
                                 Time now) {
  if (answer.ok()) {
    store_last_reply_ = now;
  }
  if (call == read_call_) {
    OnReadAll(answer, now);
  } else if (call == head_call_) {
    OnReadHead(answer, now);
  } else if (PendingEdit* edit = FindEdit(call)) {
    OnEditRead(*edit, answer, now);
  }
}

void ProfileStore::Impl::OnReadAll(
    const absl::StatusOr<StoreRangeAnswer>& answer, Time now) {
  read_call_ = 0;
  if (!answer.ok()) {
    if (watch_phase_ == WatchPhase::kReading) {
      watch_phase_ = WatchPhase::kOff;
    }
    ScheduleRead(now);
    return;
  }
  ready_ = true;
  for (const StoreEntry& entry : answer->entries) {
    Apply(RevisionOf(entry), InstanceId());
  }
  if (watcher_ && watch_phase_ != WatchPhase::kWatching) {
    StartWatch(answer->revision + 1);
    next_head_ = now + Jittered(options_.head_poll_interval);
  }
  ScheduleRead(now);
}

void ProfileStore::Impl::OnReadHead(
    const absl::StatusOr<StoreRangeAnswer>& answer, Time now) {
  head_call_ = 0;
  if (!answer.ok() || answer->entries.empty()) {
    return;
  }
  if (answer->entries.front().mod_revision > digest_.highest) {
    // The watch has missed a change: read all profiles, and start a new watch
    // from the revision of that read.
    StopWatch();
    ReadAll(now);
  }
}

void ProfileStore::Impl::StartWatch(int64_t from_revision) {
  watch_phase_ = WatchPhase::kWatching;
  watch_call_ = NextCall();
  SendStoreRequest(StoreWatch{.call = watch_call_,
                              .prefix = options_.prefix,
                              .from_revision = from_revision});
}

void ProfileStore::Impl::StopWatch() {
  if (watch_call_ != 0) {
    SendStoreRequest(StoreCancelWatch{.call = watch_call_});
  }
  watch_call_ = 0;
  watch_phase_ = WatchPhase::kOff;
  if (!watcher_) {
    next_head_ = Time::max();
  }
}

void ProfileStore::Impl::OnWatch(StoreCall call,
                                 const absl::StatusOr<StoreWatchEvents>& events,
                                 Time now) {
  if (call != watch_call_ || call == 0) {
    return;
  }
  if (events.ok()) {
    store_last_reply_ = now;
    for (const StoreEntry& entry : events->puts) {
      Apply(RevisionOf(entry), InstanceId());
    }
    return;
  }
  watch_call_ = 0;
  watch_phase_ = WatchPhase::kOff;
  // If the revision was compacted, a read returns the missed changes. Otherwise
  // the service is unreachable; the jitter keeps the watchers from all
  // returning at the same moment.
  const bool compacted =
      CodeOf(events.status()) == ResultCode::kStoreRevisionCompacted;
  next_read_ =
      compacted ? now : now + Jittered(options_.isolated_poll_interval / 2);
}

}  // namespace oleander
