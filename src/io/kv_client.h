// The platform's key-value service, spoken to in etcd v3's JSON form.
#ifndef OLEANDER_IO_KV_CLIENT_H_
#define OLEANDER_IO_KV_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "io/http_client.h"
#include "oleander/store.h"
#include "oleander/types.h"

namespace oleander::io {

// A watch under way; destroying it ends it without another callback.
class KvWatch {
 public:
  virtual ~KvWatch() = default;
};

// Each callback is called once, later. Errors tell what is known of a write:
// kStoreUnavailable (ran "no") where it was not sent or the service refused it,
// and kStoreAnswerLost where it may have taken effect.
class KvClient {
 public:
  template <typename Answer>
  using Done = std::function<void(absl::StatusOr<Answer>)>;

  KvClient(HttpClient& client, std::string address, uint16_t port,
           Duration timeout);

  void Range(const StoreRange& request, Done<StoreRangeAnswer> done);
  void Cas(const StoreCas& request, Done<StoreCasAnswer> done);
  void LeaseGrant(const StoreLeaseGrant& request, Done<StoreLeaseAnswer> done);
  void LeaseKeepAlive(const StoreLeaseKeepAlive& request,
                      Done<StoreLeaseAnswer> done);
  void LeaseRevoke(const StoreLeaseRevoke& request,
                   Done<StoreLeaseAnswer> done);

  // `events` is called for each piece of the stream, and once with an error
  // when the watch ends: kStoreRevisionCompacted or kStoreUnavailable. An empty
  // piece tells that the watch is in place. The watch must not be destroyed
  // inside the callback.
  [[nodiscard]] std::unique_ptr<KvWatch> Watch(const StoreWatch& request,
                                               Done<StoreWatchEvents> events);

 private:
  HttpCallRequest NewRequest(std::string target, std::string body) const;

  HttpClient* client_;
  std::string address_;
  uint16_t port_;
  Duration timeout_;
};

// Readers of the service's answers, for tests and fuzzing; kBadAnswer where one
// is malformed.
absl::StatusOr<StoreRangeAnswer> ParseRangeAnswer(std::string_view body);
absl::StatusOr<StoreCasAnswer> ParseCasAnswer(std::string_view body);
absl::StatusOr<StoreLeaseAnswer> ParseLeaseAnswer(std::string_view body);
absl::StatusOr<StoreWatchEvents> ParseWatchEvents(std::string_view line);

}  // namespace oleander::io

#endif  // OLEANDER_IO_KV_CLIENT_H_
