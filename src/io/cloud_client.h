// The platform's cloud API: instances, reclaim notices, prices, starts and
// stops, and the weight store.
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

struct ListedEntry {
  InstanceInfo info;
  std::string public_key;  // Of the mesh; may be empty.
  bool leaving = false;
};

struct ListedServer {
  ServerInfo info;
  bool leaving = false;
};

// The platform's list of live and leaving instances; it lags.
struct InstanceList {
  std::vector<ListedEntry> entries;
  std::vector<ListedServer> servers;
};

struct ReclaimNoticeInfo {
  std::string id;  // Of an entry instance or a backend server.
  Duration time_left{};
};

class CloudClient {
 public:
  template <typename Answer>
  using Done = std::function<void(absl::StatusOr<Answer>)>;

  CloudClient(HttpClient& client, std::string address, uint16_t port);

  void FetchInstances(Done<InstanceList> done);
  void FetchNotices(Done<std::vector<ReclaimNoticeInfo>> done);
  void FetchPrices(Done<std::vector<MarketPrice>> done);
  // The new instance's id, or kPlatformRefused.
  void Start(const StartInstance& order, Done<std::string> done);
  void Stop(const ServerId& server, std::function<void(absl::Status)> done);
  // Takes a slot of the weight store; kPlatformRefused with retry_after where
  // it has none.
  void TakeWeights(const std::string& model,
                   std::function<void(absl::Status)> done);

 private:
  HttpCallRequest NewRequest(std::string method, std::string target,
                             std::string body) const;

  HttpClient* client_;
  std::string address_;
  uint16_t port_;
};

// Readers of the platform's answers; kBadAnswer where one is malformed.
absl::StatusOr<InstanceList> ParseInstanceList(std::string_view body);
absl::StatusOr<std::vector<ReclaimNoticeInfo>> ParseNotices(
    std::string_view body);
absl::StatusOr<std::vector<MarketPrice>> ParsePrices(std::string_view body);

}  // namespace oleander::io

#endif  // OLEANDER_IO_CLOUD_CLIENT_H_
