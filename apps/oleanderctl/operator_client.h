// A client of one daemon's operator API, with one call at a time.
#ifndef OLEANDER_APPS_OLEANDERCTL_OPERATOR_CLIENT_H_
#define OLEANDER_APPS_OLEANDERCTL_OPERATOR_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "io/event_loop.h"
#include "io/http_client.h"
#include "io/http_types.h"
#include "oleander/types.h"

namespace oleander::ctl {

struct OperatorEndpoint {
  std::string address;  // An IP address.
  uint16_t port = 0;
  std::string token;
  Duration timeout = std::chrono::seconds(10);
};

// Parses "127.0.0.1:9090"; a kUsage error contains the text.
absl::StatusOr<OperatorEndpoint> ParseEndpoint(std::string_view text);

struct OperatorAnswer {
  int status = 0;
  io::Headers headers;
  std::string body;
};

// Runs its own event loop during each call; every call blocks.
class OperatorClient {
 public:
  explicit OperatorClient(OperatorEndpoint endpoint);
  ~OperatorClient();

  // Returns the daemon's answer with any HTTP status, or kDaemonUnreachable if
  // no answer arrives.
  absl::StatusOr<OperatorAnswer> Call(std::string method, std::string target,
                                      io::Headers headers = {},
                                      std::string body = {});

  // Like Call(), but an HTTP status of 400 or above becomes the error that the
  // daemon reported.
  absl::StatusOr<OperatorAnswer> CallOk(std::string method, std::string target,
                                        io::Headers headers = {},
                                        std::string body = {});

  // Passes each chunk of a streamed answer to `on_chunk` until the answer ends.
  absl::Status Stream(std::string target,
                      const std::function<void(std::string_view)>& on_chunk);

  // Blocks for `duration`, between two polls.
  void Wait(Duration duration);

 private:
  io::HttpCallRequest NewRequest(std::string method, std::string target,
                                 io::Headers headers, std::string body) const;
  absl::Status Unreachable(const absl::Status& cause) const;

  OperatorEndpoint endpoint_;
  std::unique_ptr<io::EventLoop> loop_;
  std::unique_ptr<io::HttpClient> client_;
};

}  // namespace oleander::ctl

#endif  // OLEANDER_APPS_OLEANDERCTL_OPERATOR_CLIENT_H_
