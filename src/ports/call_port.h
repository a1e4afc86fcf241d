// Callers' requests and backend servers' answers, read from and written to the
// headers of whichever system this instance stands in.
#ifndef OLEANDER_PORTS_CALL_PORT_H_
#define OLEANDER_PORTS_CALL_PORT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "io/http_server.h"
#include "io/http_types.h"
#include "oleander/types.h"

namespace oleander::ports {

// One part of a prompt; requests with the same leading parts share the work of
// reading them.
struct PromptPart {
  std::string id;
  int64_t tokens = 0;
};

// What a caller asks for, beyond method, path and body.
struct CallIntake {
  std::string host;
  std::string attempt;                // The caller's id of this try.
  std::optional<Duration> time_left;  // As the caller told it.
  std::string credential;             // Empty: none was sent.
  std::optional<int64_t> prompt_tokens;
  int64_t max_output_tokens = 0;
  std::optional<int64_t> expected_output_tokens;  // The caller's estimate.
  std::vector<PromptPart> prompt;
  std::optional<std::string> resume_after;  // The last event that arrived.
};

// What this instance adds when it sends a call to a backend server.
struct SendTerms {
  ServerId server;  // The only one that may run it.
  WorkspaceId workspace;
  Duration time_left{};
  std::optional<int> urgency;  // 0 is first, 9 last; left out: the usual.
  std::optional<std::string> resume_after;
};

// How busy a server said it was.
struct ServerLoad {
  int running = 0;
  int waiting = 0;
  int slots = 0;
};

// What the head of a backend server's answer says.
struct AnswerHead {
  std::optional<std::string> attempt;  // The try that it belongs to.
  bool sealed = false;                 // It carries the server's own signature.
  bool not_run = false;       // The server states that it did not run the call.
  bool other_server = false;  // Another server has this address now.
  bool encoded = false;       // The body isn't what the server made.
  std::optional<ServerLoad> load;
  bool leaving = false;  // The server says that it is about to stop.
  // The server wants nothing more from this instance for so long.
  std::optional<Duration> pause;
};

class CallPort {
 public:
  virtual ~CallPort() = default;

  // kMalformedRequest where a header that decides something can't be read.
  virtual absl::StatusOr<CallIntake> Read(
      const io::HttpRequest& request) const = 0;
  // The headers for the backend server, from the caller's and `terms`.
  virtual io::Headers ForServer(const io::HttpRequest& request,
                                const SendTerms& terms) const = 0;
  virtual AnswerHead ReadAnswer(int status,
                                const io::Headers& headers) const = 0;
  // The headers for the caller, from the backend server's.
  virtual io::Headers ForCaller(const io::Headers& headers) const = 0;
};

}  // namespace oleander::ports

#endif  // OLEANDER_PORTS_CALL_PORT_H_
