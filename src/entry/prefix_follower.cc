#include "entry/prefix_follower.h"

#include <algorithm>

#include "oleander/result_code.h"

namespace oleander::entry {
namespace {

// Each waiting call is one store call; the store allows at most 30 s.
constexpr Duration kWait = std::chrono::seconds(10);
constexpr Duration kRetryInterval = std::chrono::milliseconds(250);
// A store that answers at once without changes must not be asked in a loop.
constexpr Duration kEmptyPause = std::chrono::milliseconds(50);

}  // namespace

void PrefixFollower::Follow(bool follow) {
  const bool begins = follow && !follows_;
  follows_ = follow;
  if (begins && !listing_ && !waiting_) {
    Next(Duration::zero());
  }
}

void PrefixFollower::Confirm() {
  if (!listing_) {
    List();
  }
}

void PrefixFollower::OnNewEra() {
  ++round_;
  listing_ = false;
  waiting_ = false;
  revision_ = 0;
  entries_.clear();
  Next(Duration::zero());
}

void PrefixFollower::Next(Duration delay) {
  timer_ = loop_.After(delay, [this] {
    if (!follows_ || listing_ || waiting_) {
      return;
    }
    if (revision_ == 0) {
      List();
    } else {
      Wait();
    }
  });
}

void PrefixFollower::List() {
  listing_ = true;
  store_.Range(
      {.call = 0, .key = prefix_, .prefix = true},
      [this, round = round_](const absl::StatusOr<StoreRangeAnswer>& answer) {
        if (round == round_) {
          listing_ = false;
          OnListed(answer);
        }
      });
}

void PrefixFollower::OnListed(const absl::StatusOr<StoreRangeAnswer>& answer) {
  on_call_("rollouts_list", answer.status());
  if (!answer.ok()) {
    Next(kRetryInterval);
    return;
  }
  if (answer->revision >= revision_) {
    entries_.clear();
    for (const StoreEntry& entry : answer->entries) {
      entries_.emplace(entry.key, entry);
    }
    revision_ = answer->revision;
    on_change_();
  }
  Next(Duration::zero());
}

void PrefixFollower::Wait() {
  waiting_ = true;
  store_.Wait(
      {.prefix = prefix_, .after_revision = revision_, .max_wait = kWait},
      [this,
       round = round_](const absl::StatusOr<ports::StoreChanges>& answer) {
        if (round == round_) {
          waiting_ = false;
          OnChanges(answer);
        }
      });
}

void PrefixFollower::OnChanges(
    const absl::StatusOr<ports::StoreChanges>& answer) {
  on_call_("rollouts_wait", answer.status());
  if (!answer.ok()) {
    // The changes since the known revision may be lost.
    const bool gap =
        CodeOf(answer.status()) == ResultCode::kStoreRevisionCompacted;
    revision_ = gap ? 0 : revision_;
    Next(gap ? Duration::zero() : kRetryInterval);
    return;
  }
  for (const ports::StoreChange& change : answer->changes) {
    const auto known = entries_.find(change.entry.key);
    const int64_t known_revision =
        known == entries_.end() ? 0 : known->second.mod_revision;
    // A listing may have been faster.
    if (change.entry.mod_revision <= std::max(known_revision, revision_)) {
      continue;
    }
    if (change.removed) {
      entries_.erase(change.entry.key);
    } else {
      entries_[change.entry.key] = change.entry;
    }
  }
  revision_ = std::max(revision_, answer->revision);
  on_change_();
  Next(answer->changes.empty() ? kEmptyPause : Duration::zero());
}

}  // namespace oleander::entry
