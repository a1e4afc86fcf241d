// Talks to one daemon's operator API, one call at a time.
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
  std::string address;  // An IP number.
  uint16_t port = 0;
  std::string token;
  Duration timeout = std::chrono::seconds(10);
};

// Splits "127.0.0.1:9090"; an error of kUsage names the text.
absl::StatusOr<OperatorEndpoint> ParseEndpoint(std::string_view text);

struct OperatorAnswer {
  int status = 0;
  io::Headers headers;
  std::string body;
};

// Runs its own loop for the length of each call.
class OperatorClient {
 public:
  explicit OperatorClient(OperatorEndpoint endpoint);
  ~OperatorClient();

  // The daemon's answer, whatever its HTTP status; kDaemonUnreachable where
  // there is none.
  absl::StatusOr<OperatorAnswer> Call(std::string method, std::string target,
                                      io::Headers headers = {},
                                      std::string body = {});

  // The same, with an error answer turned into the status that the daemon
  // reported.
  absl::StatusOr<OperatorAnswer> CallOk(std::string method, std::string target,
                                        io::Headers headers = {},
                                        std::string body = {});

  // Hands each piece of a streamed answer to `on_chunk` until it ends.
  absl::Status Stream(std::string target,
                      const std::function<void(std::string_view)>& on_chunk);

  // Lets time pass between two polls.
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
