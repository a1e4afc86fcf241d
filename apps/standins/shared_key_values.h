// The stand-in platform's key-value store: revisions, leases, transactions,
// history for watches, and compaction, as etcd v3 defines them.
#ifndef OLEANDER_APPS_STANDINS_SHARED_KEY_VALUES_H_
#define OLEANDER_APPS_STANDINS_SHARED_KEY_VALUES_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "nlohmann/json.hpp"
#include "oleander/types.h"

namespace oleander::standins {

struct KeyValue {
  std::string key;
  std::string value;
  int64_t create_revision = 0;
  int64_t mod_revision = 0;
  int64_t version = 0;
  int64_t lease = 0;
};

// A change, as it is sent to watches. A deletion has version 0 and no value.
struct KvEvent {
  KeyValue kv;
  bool deleted = false;
};

// The half-open range [begin, end). An empty `end` means the single key
// `begin`; an `end` of "\0" means every key from `begin` on.
struct KeyRange {
  std::string begin;
  std::string end;
  bool Contains(const std::string& key) const;
};

class KeyValues {
 public:
  using Json = nlohmann::json;

  // Each function handles the etcd request of its name and returns the JSON
  // body of the answer.
  Json Range(const Json& request) const;
  Json Put(const Json& request);
  Json DeleteRange(const Json& request);
  Json Txn(const Json& request);
  Json Compact(const Json& request);
  Json Grant(const Json& request, Time now);
  Json KeepAlive(const Json& request, Time now);
  Json Revoke(const Json& request);

  // Revokes expired leases and deletes their keys.
  void ExpireLeases(Time now);

  // Returns the retained events of `range` from `revision` on.
  std::vector<KvEvent> EventsFrom(const KeyRange& range,
                                  int64_t revision) const;
  // Returns key and revision of every put since the start; compaction removes
  // none of them.
  const std::vector<std::pair<std::string, int64_t>>& writes() const {
    return writes_;
  }
  int64_t revision() const { return revision_; }
  int64_t compacted() const { return compacted_; }
  Json Header() const;

 private:
  struct Lease {
    Duration ttl{};
    Time expires;
    std::set<std::string> keys;
  };

  bool CompareHolds(const Json& compare) const;
  Json ApplyOperation(const Json& operation, int64_t revision);
  void PutOne(const Json& request, int64_t revision);
  int64_t DeleteKeys(const KeyRange& range, int64_t revision);
  void RevokeLease(int64_t id);

  std::map<std::string, KeyValue> values_;
  std::map<int64_t, Lease> leases_;
  std::deque<KvEvent> history_;
  std::vector<std::pair<std::string, int64_t>> writes_;
  int64_t revision_ = 1;
  int64_t compacted_ = 0;
  int64_t next_lease_ = 7001;
};

std::string Base64Encode(std::string_view bytes);
std::string Base64Decode(std::string_view text);
// Returns a 64-bit field that is a JSON string or number; 0 if missing.
int64_t Int64Field(const nlohmann::json& object, const char* key);
KeyRange RangeOf(const nlohmann::json& request);
nlohmann::json KeyValueJson(const KeyValue& kv);
nlohmann::json EventJson(const KvEvent& event);

}  // namespace oleander::standins

#endif  // OLEANDER_APPS_STANDINS_SHARED_KEY_VALUES_H_
