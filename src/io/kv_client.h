// A client of the platform's key-value service, which has the JSON API of
// etcd v3.
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

// The handle of a watch. Destroying it ends the watch without a callback.
class KvWatch {
 public:
  virtual ~KvWatch() = default;
};

// Each `done` callback is called once, after the function has returned. The
// error shows whether a write may have taken effect: kStoreUnavailable
// (ran "no") if it was not sent or the service refused it, and kStoreAnswerLost
// if it may have taken effect.
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

  // Calls `events` for each message of the stream, and once with an error when
  // the watch ends: kStoreRevisionCompacted, kStoreUnavailable, or kBadAnswer
  // for a malformed message. A message without events confirms that the watch
  // is established. The watch must not be destroyed inside the callback.
  [[nodiscard]] std::unique_ptr<KvWatch> Watch(const StoreWatch& request,
                                               Done<StoreWatchEvents> events);

 private:
  HttpCallRequest NewRequest(std::string target, std::string body) const;

  HttpClient* client_;
  std::string address_;
  uint16_t port_;
  Duration timeout_;
};

// Parse the service's responses; public for tests and fuzzing. Return
// kBadAnswer for malformed responses.
absl::StatusOr<StoreRangeAnswer> ParseRangeAnswer(std::string_view body);
absl::StatusOr<StoreCasAnswer> ParseCasAnswer(std::string_view body);
absl::StatusOr<StoreLeaseAnswer> ParseLeaseAnswer(std::string_view body);
absl::StatusOr<StoreWatchEvents> ParseWatchEvents(std::string_view line);

}  // namespace oleander::io

#endif  // OLEANDER_IO_KV_CLIENT_H_
