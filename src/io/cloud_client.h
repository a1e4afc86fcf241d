// A client of the platform's cloud API: listing, starting and stopping
// instances, reclaim notices, prices, and the weight store.
#ifndef OLEANDER_IO_CLOUD_CLIENT_H_
#define OLEANDER_IO_CLOUD_CLIENT_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "io/http_client.h"
#include "oleander/capacity.h"
#include "oleander/types.h"

namespace oleander::io {

// An entry instance in the platform's list.
struct ListedEntry {
  InstanceInfo info;
  std::string public_key;  // The CURVE key for the mesh; may be empty.
  bool leaving = false;
};

// A backend server in the platform's list.
struct ListedServer {
  ServerInfo info;
  bool leaving = false;
};

// The platform's list of live and leaving instances. The list may be out of
// date, since the platform updates it with a delay.
struct InstanceList {
  std::vector<ListedEntry> entries;
  std::vector<ListedServer> servers;
};

// Announces that the platform will take back an instance.
struct ReclaimNoticeInfo {
  std::string id;        // The id of an entry instance or a backend server.
  Duration time_left{};  // Time until the instance is stopped.
};

// Every call times out after 2 s. Each callback gets the result or an error:
// kPlatformRefused with retry_after for an HTTP error status, kBadAnswer for a
// malformed response, or the error of the HTTP call.
class CloudClient {
 public:
  template <typename Answer>
  using Done = std::function<void(absl::StatusOr<Answer>)>;

  CloudClient(HttpClient& client, std::string address, uint16_t port);

  void FetchInstances(Done<InstanceList> done);
  void FetchNotices(Done<std::vector<ReclaimNoticeInfo>> done);
  void FetchPrices(Done<std::vector<MarketPrice>> done);
  // Starts an instance and returns its id, or kPlatformRefused.
  void Start(const StartInstance& order, Done<std::string> done);
  // Stops an instance. An instance that no longer exists counts as stopped.
  void Stop(const ServerId& server, std::function<void(absl::Status)> done);
  // Reserves a slot of the weight store for downloading the model's weights.
  // Returns kPlatformRefused with retry_after if no slot is free.
  void AcquireWeightSlot(const std::string& model,
                         std::function<void(absl::Status)> done);

 private:
  HttpCallRequest NewRequest(std::string method, std::string target,
                             std::string body) const;

  HttpClient* client_;
  std::string address_;
  uint16_t port_;
};

// Parse the platform's responses; return kBadAnswer for malformed ones.
absl::StatusOr<InstanceList> ParseInstanceList(std::string_view body);
absl::StatusOr<std::vector<ReclaimNoticeInfo>> ParseNotices(
    std::string_view body);
absl::StatusOr<std::vector<MarketPrice>> ParsePrices(std::string_view body);

}  // namespace oleander::io

#endif  // OLEANDER_IO_CLOUD_CLIENT_H_
