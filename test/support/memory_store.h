// An in-memory store that implements ports::StorePort on a real event loop:
// revisions, waiting calls, leases that expire, and the failures of the
// platform's store.
#ifndef OLEANDER_TEST_SUPPORT_MEMORY_STORE_H_
#define OLEANDER_TEST_SUPPORT_MEMORY_STORE_H_

#include <algorithm>
#include <map>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "io/event_loop.h"
#include "oleander/result_code.h"
#include "ports/store_port.h"

namespace oleander::entry {

class MemoryStore : public ports::StorePort {
 public:
  explicit MemoryStore(io::EventLoop& loop) : loop_(loop) {}

  void Write(const std::string& key, const std::string& value,
             StoreLeaseId lease = 0) {
    const auto known = entries_.find(key);
    ++revision_;
    entries_[key] = {.key = key,
                     .value = value,
                     .create_revision = known == entries_.end()
                                            ? revision_
                                            : known->second.create_revision,
                     .mod_revision = revision_,
                     .version = 1,
                     .lease = lease};
  }
  void Remove(const std::string& key) {
    if (entries_.erase(key) > 0) {
      removed_.emplace_back(key, ++revision_);
    }
  }
  const StoreEntry* Find(const std::string& key) const {
    const auto found = entries_.find(key);
    return found == entries_.end() ? nullptr : &found->second;
  }

  // While the store is down, new calls fail and waiting calls get no reply.
  void SetDown(bool down) { down_ = down; }
  // Calls for changes get no reply until this ends, also if they do not wait.
  void HoldWaits(bool hold) { hold_waits_ = hold; }
  // The next `count` writes take effect, but their replies are lost.
  void LoseWriteAnswers(int count) { lost_writes_ = count; }
  // Each reply first reports its era to `on_era`.
  void OnEra(ports::EraObserver on_era) {
    on_era_ = std::move(on_era);
    era_ = std::max<int64_t>(era_, 1);
  }
  // SaveCopy() saves the content, and RestoreCopy() restores it in a new era:
  // later writes are lost, and the same revisions and leases are issued again.
  // Waiting calls go on waiting.
  void SaveCopy() {
    copy_ = {revision_, last_lease_, leases_, entries_, removed_};
  }
  void RestoreCopy() {
    ++era_;
    std::tie(revision_, last_lease_, leases_, entries_, removed_) = copy_;
  }
  // Waiting calls for changes before now fail with kStoreRevisionCompacted.
  void Compact() { compacted_ = revision_; }

  void Range(const StoreRange& request, Done<StoreRangeAnswer> done) override {
    ++reads;
    if (const StoreEntry* entry = Find(request.key);
        request.max_bytes != 0 && entry != nullptr &&
        entry->value.size() > request.max_bytes) {
      Reply(std::move(done),
            StoreRangeAnswer{.entries = {}, .too_large = true});
      return;
    }
    StoreRangeAnswer answer{.revision = revision_, .entries = {}};
    for (const auto& [key, entry] : entries_) {
      if (request.prefix ? key.starts_with(request.key) : key == request.key) {
        answer.entries.push_back(entry);
        value_bytes_[key] += entry.value.size();
      }
    }
    Reply(std::move(done), std::move(answer));
  }

  void Wait(const ports::StoreWait& request,
            Done<ports::StoreChanges> done) override {
    const bool waits_for_changes = request.max_wait > Duration::zero();
    ++(waits_for_changes ? waits : reads);
    if (down_ && !waits_for_changes) {
      Reply(std::move(done), ports::StoreChanges{});
      return;
    }
    Poll(request, std::move(done), loop_.now() + request.max_wait);
  }

  void Cas(const StoreCas& request, Done<StoreCasAnswer> done) override {
    ++writes;
    if (down_) {
      Reply(std::move(done), StoreCasAnswer{});
      return;
    }
    StoreCasAnswer answer = Apply(request);
    if (lost_writes_ > 0) {
      --lost_writes_;
      loop_.Post([done = std::move(done)] {
        done(MakeError(ResultCode::kStoreAnswerLost, "The reply was lost."));
      });
      return;
    }
    Reply(std::move(done), std::move(answer));
  }

  void LeaseGrant(const StoreLeaseGrant& request,
                  Done<StoreLeaseAnswer> done) override {
    if (!down_) {
      leases_[++last_lease_] = {.ttl = request.ttl,
                                .ends = loop_.now() + request.ttl};
    }
    Reply(std::move(done),
          StoreLeaseAnswer{.lease = last_lease_, .ttl = request.ttl});
  }

  void LeaseKeepAlive(const StoreLeaseKeepAlive& request,
                      Done<StoreLeaseAnswer> done) override {
    ++renewals;
    EndExpiredLeases();
    StoreLeaseAnswer answer{.lease = request.lease, .ttl = Duration::zero()};
    const auto lease = leases_.find(request.lease);
    if (!down_ && lease != leases_.end()) {
      lease->second.ends = loop_.now() + lease->second.ttl;
      answer.ttl = lease->second.ttl;
    }
    Reply(std::move(done), answer);
  }

  void LeaseRevoke(const StoreLeaseRevoke& request,
                   Done<StoreLeaseAnswer> done) override {
    if (!down_) {
      EndLease(request.lease);
    }
    Reply(std::move(done), StoreLeaseAnswer{});
  }

  // Returns how many bytes of the key's values replies to reads and waiting
  // calls held.
  size_t value_bytes(const std::string& key) const {
    const auto found = value_bytes_.find(key);
    return found == value_bytes_.end() ? 0 : found->second;
  }

  int reads = 0;  // Includes calls for changes that do not wait.
  int waits = 0;
  int writes = 0;
  int renewals = 0;

 private:
  struct Lease {
    Duration ttl{};
    Time ends;
  };

  template <typename Answer>
  void Reply(Done<Answer> done, Answer answer) {
    if (down_) {
      loop_.Post([done = std::move(done)] {
        done(MakeError(ResultCode::kStoreUnavailable, "The store is down."));
      });
      return;
    }
    loop_.Post(
        [this, era = era_, done = std::move(done), answer = std::move(answer)] {
          if (ObserveEra(era)) {
            done(answer);
          } else {
            done(MakeError(ResultCode::kStoreAnswerLost,
                           "The reply is of an older era."));
          }
        });
  }

  // Reports the era to the observer; false if the reply must be dropped.
  bool ObserveEra(int64_t era) const { return !on_era_ || on_era_(era); }

  StoreCasAnswer Apply(const StoreCas& request) {
    EndExpiredLeases();
    StoreCasAnswer answer;
    answer.succeeded =
        std::ranges::all_of(request.compares, [this](const StoreCompare& row) {
          const StoreEntry* entry = Find(row.key);
          return (entry == nullptr ? 0 : entry->mod_revision) ==
                 row.mod_revision;
        });
    if (answer.succeeded) {
      for (const StorePut& put : request.puts) {
        Write(put.key, put.value, put.lease);
      }
      for (const std::string& key : request.deletes) {
        Remove(key);
      }
    } else {
      for (const StoreCompare& row : request.compares) {
        if (const StoreEntry* entry = Find(row.key); entry != nullptr) {
          answer.current.push_back(*entry);
        }
      }
    }
    answer.revision = revision_;
    return answer;
  }

  void EndExpiredLeases() {
    std::vector<StoreLeaseId> expired;
    for (const auto& [id, lease] : leases_) {
      if (lease.ends <= loop_.now()) {
        expired.push_back(id);
      }
    }
    std::ranges::for_each(expired, [this](StoreLeaseId id) { EndLease(id); });
  }

  void EndLease(StoreLeaseId id) {
    leases_.erase(id);
    std::vector<std::string> keys;
    for (const auto& [key, entry] : entries_) {
      if (entry.lease == id) {
        keys.push_back(key);
      }
    }
    std::ranges::for_each(keys, [this](const auto& key) { Remove(key); });
  }

  void Poll(const ports::StoreWait& request, Done<ports::StoreChanges> done,
            Time until) {
    EndExpiredLeases();
    if (!down_ && request.after_revision < compacted_) {
      loop_.Post([done = std::move(done)] {
        done(MakeError(ResultCode::kStoreRevisionCompacted,
                       "The requested changes were compacted."));
      });
      return;
    }
    ports::StoreChanges changes = ChangesSince(request);
    const bool answers = !down_ && !hold_waits_ &&
                         (!changes.changes.empty() || loop_.now() >= until);
    if (answers) {
      for (const ports::StoreChange& change : changes.changes) {
        value_bytes_[change.entry.key] += change.entry.value.size();
      }
      ObserveEra(era_);
      done(changes);
      return;
    }
    timers_.push_back(loop_.After(std::chrono::milliseconds(10),
                                  [this, request, done = std::move(done),
                                   until] { Poll(request, done, until); }));
  }

  ports::StoreChanges ChangesSince(const ports::StoreWait& request) const {
    ports::StoreChanges changes{.revision = revision_, .changes = {}};
    for (const auto& [key, entry] : entries_) {
      if (key.starts_with(request.prefix) &&
          entry.mod_revision > request.after_revision) {
        changes.changes.push_back({.entry = entry, .removed = false});
      }
    }
    for (const auto& [key, revision] : removed_) {
      if (key.starts_with(request.prefix) &&
          revision > request.after_revision) {
        StoreEntry entry;
        entry.key = key;
        entry.mod_revision = revision;
        changes.changes.push_back({.entry = entry, .removed = true});
      }
    }
    std::ranges::sort(changes.changes, {}, [](const auto& change) {
      return change.entry.mod_revision;
    });
    return changes;
  }

  io::EventLoop& loop_;
  bool down_ = false;
  bool hold_waits_ = false;
  int lost_writes_ = 0;
  std::map<std::string, size_t> value_bytes_;
  ports::EraObserver on_era_;
  int64_t era_ = 0;
  int64_t revision_ = 10;
  int64_t compacted_ = 0;
  StoreLeaseId last_lease_ = 0;
  std::map<StoreLeaseId, Lease> leases_;
  std::map<std::string, StoreEntry> entries_;
  std::vector<std::pair<std::string, int64_t>> removed_;
  std::tuple<int64_t, StoreLeaseId, decltype(leases_), decltype(entries_),
             decltype(removed_)>
      copy_;
  std::vector<io::Timer> timers_;
};

}  // namespace oleander::entry

#endif  // OLEANDER_TEST_SUPPORT_MEMORY_STORE_H_
