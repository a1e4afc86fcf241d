// The software versions that began the streams of this instance, recorded where
// any instance finds them, also after all instances were killed.
//
// While several versions of a service may have open streams
// (version_history.h), each stream's version is written to the key-value
// service under the id of the attempt that brought its first event. Records are
// written in batches: a stream whose record was not written before its instance
// was killed counts as unknown, and isn't taken up.
//
//   origins.OnBegun(now, "9c41", {.service = service, .version = "v2"});
//   ... at any instance:
//   read(StreamOrigins::KeyOf("9c41")) -> StreamOrigins::Parse(value)
//
// The part sends requests as actions; the owner executes them and passes the
// answers back. Designed for hundreds of new streams a second before hundreds
// of instances that together may make some hundred calls a second.
#ifndef OLEANDER_STREAM_ORIGINS_H_
#define OLEANDER_STREAM_ORIGINS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "oleander/store.h"
#include "oleander/types.h"

namespace oleander {

struct StreamOrigin {
  ServiceId service;
  std::string version;

  bool operator==(const StreamOrigin&) const = default;
};

struct StreamOriginsOptions {
  // How long a record is needed; see VersionHistoryOptions.
  Duration stream_lifetime = std::chrono::seconds(30);
  // Records get a lease with this time to live, and a new one after a third of
  // it. It must exceed `stream_lifetime` by half.
  Duration lease_ttl = std::chrono::seconds(90);
  // Between two batches: this for each instance, within the bounds.
  Duration write_interval_per_instance = std::chrono::milliseconds(5);
  Duration min_write_interval = std::chrono::milliseconds(80);
  Duration max_write_interval = std::chrono::milliseconds(750);
  Duration retry_interval = std::chrono::milliseconds(1000);
  // The key-value service accepts 32 entries per call.
  size_t max_records_per_call = 32;
  // The oldest ones beyond this are dropped.
  size_t max_records = 16384;
};

class StreamOrigins {
 public:
  explicit StreamOrigins(StreamOriginsOptions options = {})
      : options_(options) {}

  // Returns the key of an attempt's record.
  static std::string KeyOf(std::string_view attempt);
  // Returns the origin in a record's value, or nothing if it can't be read.
  static std::optional<StreamOrigin> Parse(std::string_view value);

  // Sets the number of live instances, which share the rate of writes.
  void SetInstances(size_t instances) { instances_ = instances; }
  // Records that the attempt has brought the first event of a stream.
  void OnBegun(Time now, std::string_view attempt, const StreamOrigin& origin);
  // Returns the origin of a stream that began at this instance.
  const StreamOrigin* Find(std::string_view attempt) const;

  // Writes the records that are due.
  void Tick(Time now);
  // Returns when to call Tick() next, or Time::max().
  Time next_due() const { return due_; }
  // Returns the requests since the last call. The answer to a grant goes to
  // OnLease(), one to a transaction to OnCas() with its call number.
  std::vector<StoreRequest> TakeActions();
  void OnLease(Time now, const absl::StatusOr<StoreLeaseAnswer>& answer);
  void OnCas(Time now, StoreCall call,
             const absl::StatusOr<StoreCasAnswer>& answer);

  size_t unwritten() const { return unwritten_.size(); }

 private:
  struct Record {
    std::string key;
    std::string value;
    Time at;
  };
  void Remember(Time now, std::string_view attempt, const StreamOrigin& origin);
  void WriteAll();
  bool has_lease(Time now) const {
    return lease_ != 0 && now - leased_at_ < options_.lease_ttl / 3;
  }

  StreamOriginsOptions options_;
  size_t instances_ = 1;
  struct Known {
    StreamOrigin origin;
    Time at;
  };
  std::map<std::string, Known, std::less<>> known_;
  std::deque<std::string> oldest_;  // Attempts in `known_`, oldest first.
  std::deque<Record> unwritten_;
  std::map<StoreCall, std::vector<Record>> open_;
  StoreCall last_call_ = 0;
  StoreLeaseId lease_ = 0;
  Time leased_at_;
  bool leasing_ = false;
  Time due_ = Time::max();
  std::vector<StoreRequest> actions_;
};

}  // namespace oleander

#endif  // OLEANDER_STREAM_ORIGINS_H_
