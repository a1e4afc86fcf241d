// An in-memory key-value service for tests in virtual time: revisions, ranges,
// transactions, leases and the log that watches read. Tests that need outages,
// lost replies or late writes put them between the store and its user.
#ifndef OLEANDER_TEST_SUPPORT_FAKE_STORE_H_
#define OLEANDER_TEST_SUPPORT_FAKE_STORE_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "oleander/result_code.h"
#include "oleander/store.h"

namespace oleander::testing {

class FakeStore {
 public:
  StoreRangeAnswer Range(const StoreRange& request) const {
    StoreRangeAnswer answer;
    answer.revision = revision_;
    for (const auto& [key, entry] : entries_) {
      if (request.prefix ? key.starts_with(request.key) : key == request.key) {
        answer.entries.push_back(entry);
      }
    }
    return answer;
  }

  StoreCasAnswer Cas(const StoreCas& request) {
    const bool holds =
        std::ranges::all_of(request.compares, [&](const StoreCompare& compare) {
          return ModRevision(compare.key) == compare.mod_revision;
        });
    StoreCasAnswer answer;
    answer.succeeded = holds;
    if (!holds) {
      for (const StoreCompare& compare : request.compares) {
        if (const auto found = entries_.find(compare.key);
            found != entries_.end()) {
          answer.current.push_back(found->second);
        }
      }
      answer.revision = revision_;
      return answer;
    }
    ++revision_;
    answer.revision = revision_;
    for (const StorePut& put : request.puts) {
      Put(put);
    }
    for (const std::string& key : request.deletes) {
      entries_.erase(key);
    }
    return answer;
  }

  // Returns every put under `prefix` from `from_revision` on; nullopt if the
  // log was compacted past that revision.
  std::optional<std::vector<StoreEntry>> Since(const std::string& prefix,
                                               int64_t from_revision) const {
    if (from_revision <= compacted_) {
      return std::nullopt;
    }
    std::vector<StoreEntry> events;
    std::ranges::copy_if(log_, std::back_inserter(events),
                         [&](const StoreEntry& entry) {
                           return entry.mod_revision >= from_revision &&
                                  entry.key.starts_with(prefix);
                         });
    return events;
  }

  void Compact() { compacted_ = revision_; }
  int64_t revision() const { return revision_; }

  // Returns a new lease. Leases have no ttl; tests end them with ExpireLease().
  StoreLeaseId Grant() { return ++lease_; }
  // Deletes the keys of the lease.
  void ExpireLease(StoreLeaseId lease) {
    std::erase_if(entries_,
                  [&](const auto& item) { return item.second.lease == lease; });
  }

 private:
  int64_t ModRevision(const std::string& key) const {
    const auto found = entries_.find(key);
    return found == entries_.end() ? 0 : found->second.mod_revision;
  }

  void Put(const StorePut& put) {
    StoreEntry& entry = entries_[put.key];
    entry.key = put.key;
    entry.value = put.value;
    entry.lease = put.lease;
    entry.mod_revision = revision_;
    entry.create_revision =
        entry.version == 0 ? revision_ : entry.create_revision;
    ++entry.version;
    log_.push_back(entry);
  }

  std::map<std::string, StoreEntry> entries_;
  std::vector<StoreEntry> log_;
  int64_t revision_ = 1;
  int64_t compacted_ = 0;
  StoreLeaseId lease_ = 0;
};

}  // namespace oleander::testing

#endif  // OLEANDER_TEST_SUPPORT_FAKE_STORE_H_
