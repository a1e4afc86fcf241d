#include "standins/shared_key_values.h"

#include <absl/strings/escaping.h>

#include <algorithm>
#include <iterator>

#include "standins/shared_standin.h"

namespace oleander::standins {
namespace {

using Json = nlohmann::json;

template <typename Number>
bool Compare(const std::string& result, const Number& left,
             const Number& right) {
  if (result == "GREATER") {
    return left > right;
  }
  if (result == "LESS") {
    return left < right;
  }
  if (result == "NOT_EQUAL") {
    return left != right;
  }
  return left == right;
}

}  // namespace

std::string Base64Encode(std::string_view bytes) {
  return absl::Base64Escape({bytes.data(), bytes.size()});
}

std::string Base64Decode(std::string_view text) {
  std::string bytes;
  absl::Base64Unescape({text.data(), text.size()}, &bytes);
  return bytes;
}

int64_t Int64Field(const Json& object, const char* key) {
  const auto found = object.find(key);
  if (found == object.end()) {
    return 0;
  }
  if (found->is_string()) {
    return std::strtoll(found->get_ref<const std::string&>().c_str(), nullptr,
                        10);
  }
  return found->is_number() ? found->get<int64_t>() : 0;
}

KeyRange RangeOf(const Json& request) {
  return {.begin = Base64Decode(TextField(request, "key")),
          .end = Base64Decode(TextField(request, "range_end"))};
}

Json KeyValueJson(const KeyValue& kv) {
  Json json = {{"key", Base64Encode(kv.key)},
               {"create_revision", std::to_string(kv.create_revision)},
               {"mod_revision", std::to_string(kv.mod_revision)},
               {"version", std::to_string(kv.version)},
               {"value", Base64Encode(kv.value)}};
  if (kv.lease != 0) {
    json["lease"] = std::to_string(kv.lease);
  }
  return json;
}

Json EventJson(const KvEvent& event) {
  if (event.deleted) {
    return {{"type", "DELETE"},
            {"kv",
             {{"key", Base64Encode(event.kv.key)},
              {"mod_revision", std::to_string(event.kv.mod_revision)}}}};
  }
  return {{"kv", KeyValueJson(event.kv)}};
}

bool KeyRange::Contains(const std::string& key) const {
  if (end.empty()) {
    return key == begin;
  }
  const bool open_ended = end == std::string(1, '\0');
  return key >= begin && (open_ended || key < end);
}

Json KeyValues::Header() const {
  return {{"revision", std::to_string(revision_)}};
}

Json KeyValues::Range(const Json& request) const {
  const KeyRange range = RangeOf(request);
  const int64_t limit = Int64Field(request, "limit");
  Json kvs = Json::array();
  int64_t count = 0;
  for (auto entry = values_.lower_bound(range.begin); entry != values_.end();
       ++entry) {
    if (!range.Contains(entry->first)) {
      break;
    }
    ++count;
    if (limit == 0 || count <= limit) {
      kvs.push_back(KeyValueJson(entry->second));
    }
  }
  Json answer = {{"header", Header()}, {"count", std::to_string(count)}};
  if (!kvs.empty()) {
    answer["more"] = static_cast<int64_t>(kvs.size()) < count;
    answer["kvs"] = std::move(kvs);
  }
  return answer;
}

void KeyValues::PutOne(const Json& request, int64_t revision) {
  const std::string key = Base64Decode(TextField(request, "key"));
  KeyValue& kv = values_[key];
  if (kv.version == 0) {
    kv.key = key;
    kv.create_revision = revision;
  }
  if (const auto held = leases_.find(kv.lease); held != leases_.end()) {
    held->second.keys.erase(key);
  }
  kv.value = Base64Decode(TextField(request, "value"));
  kv.mod_revision = revision;
  ++kv.version;
  kv.lease = Int64Field(request, "lease");
  if (const auto lease = leases_.find(kv.lease); lease != leases_.end()) {
    lease->second.keys.insert(key);
  }
  history_.push_back({.kv = kv});
  writes_.emplace_back(key, revision);
  revision_ = revision;
}

Json KeyValues::Put(const Json& request) {
  const int64_t lease = Int64Field(request, "lease");
  if (lease != 0 && !leases_.contains(lease)) {
    return {{"error", "etcdserver: requested lease not found"}, {"code", 5}};
  }
  PutOne(request, revision_ + 1);
  return {{"header", Header()}};
}

int64_t KeyValues::DeleteKeys(const KeyRange& range, int64_t revision) {
  int64_t deleted = 0;
  auto entry = values_.lower_bound(range.begin);
  while (entry != values_.end() && range.Contains(entry->first)) {
    if (const auto lease = leases_.find(entry->second.lease);
        lease != leases_.end()) {
      lease->second.keys.erase(entry->first);
    }
    history_.push_back(
        {.kv = {.key = entry->first, .value = "", .mod_revision = revision},
         .deleted = true});
    entry = values_.erase(entry);
    ++deleted;
  }
  if (deleted > 0) {
    revision_ = revision;
  }
  return deleted;
}

Json KeyValues::DeleteRange(const Json& request) {
  const int64_t deleted = DeleteKeys(RangeOf(request), revision_ + 1);
  return {{"header", Header()}, {"deleted", std::to_string(deleted)}};
}

bool KeyValues::CompareHolds(const Json& compare) const {
  const std::string key = Base64Decode(TextField(compare, "key"));
  const auto found = values_.find(key);
  const KeyValue kv = found == values_.end() ? KeyValue() : found->second;
  const std::string result = TextField(compare, "result", "EQUAL");
  const std::string target = TextField(compare, "target", "VERSION");
  if (target == "VALUE") {
    return found != values_.end() &&
           Compare(result, kv.value, Base64Decode(TextField(compare, "value")));
  }
  if (target == "CREATE") {
    return Compare(result, kv.create_revision,
                   Int64Field(compare, "create_revision"));
  }
  if (target == "MOD") {
    return Compare(result, kv.mod_revision,
                   Int64Field(compare, "mod_revision"));
  }
  if (target == "LEASE") {
    return Compare(result, kv.lease, Int64Field(compare, "lease"));
  }
  return Compare(result, kv.version, Int64Field(compare, "version"));
}

Json KeyValues::ApplyOperation(const Json& operation, int64_t revision) {
  if (const auto put = operation.find("request_put"); put != operation.end()) {
    PutOne(*put, revision);
    return {{"response_put", {{"header", Header()}}}};
  }
  if (const auto range = operation.find("request_range");
      range != operation.end()) {
    return {{"response_range", Range(*range)}};
  }
  if (const auto erase = operation.find("request_delete_range");
      erase != operation.end()) {
    const int64_t deleted = DeleteKeys(RangeOf(*erase), revision);
    return {{"response_delete_range",
             {{"header", Header()}, {"deleted", std::to_string(deleted)}}}};
  }
  return Json::object();
}

Json KeyValues::Txn(const Json& request) {
  const Json compares = request.value("compare", Json::array());
  const bool succeeded = std::ranges::all_of(
      compares, [this](const Json& compare) { return CompareHolds(compare); });
  const Json operations =
      request.value(succeeded ? "success" : "failure", Json::array());
  for (const Json& operation : operations) {
    const Json put = operation.value("request_put", Json::object());
    const int64_t lease = Int64Field(put, "lease");
    if (lease != 0 && !leases_.contains(lease)) {
      return {{"error", "etcdserver: requested lease not found"}, {"code", 5}};
    }
  }
  const int64_t revision = revision_ + 1;
  Json responses = Json::array();
  std::ranges::transform(operations, std::back_inserter(responses),
                         [&](const Json& operation) {
                           return ApplyOperation(operation, revision);
                         });
  return {{"header", Header()},
          {"succeeded", succeeded},
          {"responses", std::move(responses)}};
}

Json KeyValues::Compact(const Json& request) {
  const int64_t revision = Int64Field(request, "revision");
  compacted_ = std::max(compacted_, std::min(revision, revision_));
  while (!history_.empty() && history_.front().kv.mod_revision < compacted_) {
    history_.pop_front();
  }
  return {{"header", Header()}};
}

Json KeyValues::Grant(const Json& request, Time now) {
  const int64_t requested_id = Int64Field(request, "ID");
  const int64_t id = requested_id != 0 ? requested_id : next_lease_++;
  const int64_t ttl = std::max<int64_t>(1, Int64Field(request, "TTL"));
  const Duration duration = std::chrono::seconds(ttl);
  leases_[id] = {.ttl = duration, .expires = now + duration, .keys = {}};
  return {{"header", Header()},
          {"ID", std::to_string(id)},
          {"TTL", std::to_string(ttl)}};
}

Json KeyValues::KeepAlive(const Json& request, Time now) {
  const int64_t id = Int64Field(request, "ID");
  const auto lease = leases_.find(id);
  Json result = {{"header", Header()}, {"ID", std::to_string(id)}};
  if (lease != leases_.end()) {
    lease->second.expires = now + lease->second.ttl;
    result["TTL"] = std::to_string(
        std::chrono::duration_cast<std::chrono::seconds>(lease->second.ttl)
            .count());
  }
  return {{"result", std::move(result)}};
}

void KeyValues::RevokeLease(int64_t id) {
  const auto lease = leases_.find(id);
  if (lease == leases_.end()) {
    return;
  }
  const std::set<std::string> keys = lease->second.keys;
  const int64_t revision = revision_ + 1;
  leases_.erase(lease);
  for (const std::string& key : keys) {
    DeleteKeys({.begin = key, .end = ""}, revision);
  }
}

Json KeyValues::Revoke(const Json& request) {
  RevokeLease(Int64Field(request, "ID"));
  return {{"header", Header()}};
}

void KeyValues::ExpireLeases(Time now) {
  std::vector<int64_t> expired;
  for (const auto& [id, lease] : leases_) {
    if (lease.expires <= now) {
      expired.push_back(id);
    }
  }
  std::ranges::for_each(expired, [this](int64_t id) { RevokeLease(id); });
}

std::vector<KvEvent> KeyValues::EventsFrom(const KeyRange& range,
                                           int64_t revision) const {
  std::vector<KvEvent> events;
  const auto first = std::ranges::lower_bound(
      history_, revision, {},
      [](const KvEvent& event) { return event.kv.mod_revision; });
  std::copy_if(
      first, history_.end(), std::back_inserter(events),
      [&](const KvEvent& event) { return range.Contains(event.kv.key); });
  return events;
}

}  // namespace oleander::standins
