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

// A change, as watches see it. A deletion has version 0 and no value.
struct KvEvent {
  KeyValue kv;
  bool deleted = false;
};

// Half-open; an empty end is the single key `begin`, "\0" is everything from
// `begin` on.
struct KeyRange {
  std::string begin;
  std::string end;
  bool Contains(const std::string& key) const;
};

class KeyValues {
 public:
  using Json = nlohmann::json;

  // Each returns the JSON body of the answer to the request with that name.
  Json Range(const Json& request) const;
  Json Put(const Json& request);
  Json DeleteRange(const Json& request);
  Json Txn(const Json& request);
  Json Compact(const Json& request);
  Json Grant(const Json& request, Time now);
  Json KeepAlive(const Json& request, Time now);
  Json Revoke(const Json& request);

  // Deletes the keys of leases that have run out.
  void ExpireLeases(Time now);

  // Events of `range` from `revision` on.
  std::vector<KvEvent> EventsFrom(const KeyRange& range,
                                  int64_t revision) const;
  // Key and revision of every put since the start, compaction or not.
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
// A 64-bit number that JSON carries as a string or as a number.
int64_t Int64Field(const nlohmann::json& object, const char* key);
KeyRange RangeOf(const nlohmann::json& request);
nlohmann::json KeyValueJson(const KeyValue& kv);
nlohmann::json EventJson(const KvEvent& event);

}  // namespace oleander::standins

#endif  // OLEANDER_APPS_STANDINS_SHARED_KEY_VALUES_H_
