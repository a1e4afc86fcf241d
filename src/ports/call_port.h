// Reads the requests of callers and the answers of backend servers from the
// headers of the system in which this instance runs, and writes those headers.
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

// One part of a prompt. Requests with the same leading parts share their
// prefill.
struct PromptPart {
  std::string id;
  int64_t tokens = 0;
};

// Fields of a request beyond method, path and body.
struct CallIntake {
  std::string host;
  std::string attempt;                // The caller's id of this attempt.
  std::optional<Duration> time_left;  // Until the deadline, from the caller.
  std::string credential;             // Empty if none was sent.
  std::optional<int64_t> prompt_tokens;
  int64_t max_output_tokens = 0;
  std::optional<int64_t> expected_output_tokens;  // The caller's estimate.
  std::vector<PromptPart> prompt;
  std::optional<std::string> resume_after;  // Id of the last received event.
  // The id of the attempt that brought the first event; empty if not named.
  std::string resumes;
};

// Fields that this instance adds to a call that it sends to a backend server.
struct SendTerms {
  ServerId server;  // No other server may run the call.
  WorkspaceId workspace;
  Duration time_left{};
  std::optional<int>
      urgency;  // 0 is the highest, 9 the lowest; empty: the default.
  std::optional<std::string> resume_after;
};

// The load that a server reported.
struct ServerLoad {
  int running = 0;
  int waiting = 0;
  int slots = 0;
  // How long work takes at the server now, relative to its usual time: 2 is
  // twice as long. Empty if the server doesn't say.
  std::optional<double> slowness = std::nullopt;
};

// Fields of the status line and headers of an answer from a backend server.
struct AnswerHead {
  std::optional<std::string> attempt;  // The attempt that it belongs to.
  bool sealed = false;                 // It carries the server's signature.
  bool not_run = false;       // The server states that it did not run the call.
  bool other_server = false;  // Another server now has this address.
  bool encoded = false;  // The body has a content encoding, so the server did
                         // not produce it.
  std::optional<ServerLoad> load;
  // The text of a load of which a figure that is known could not be read, cut
  // to 64 bytes. `load` holds the figures that could, if they suffice.
  std::optional<std::string> unreadable_load;
  bool leaving = false;  // The server announces that it is about to stop.
  // The server requests that this instance send nothing for this long.
  std::optional<Duration> pause;
  // The calls a second that the server takes from all instances together.
  std::optional<double> limit_per_s;
  // The server is brittle: it falls over if it has to turn more calls a second
  // away, for want of room.
  std::optional<double> brittle_per_s;
};

// Converts between the headers of the surrounding system and this project.
class CallPort {
 public:
  virtual ~CallPort() = default;

  // Returns the fields of a request; kMalformedRequest if a header that affects
  // processing cannot be parsed.
  virtual absl::StatusOr<CallIntake> Read(
      const io::HttpRequest& request) const = 0;
  // Returns the headers for the backend server, from the caller's and `terms`.
  virtual io::Headers ForServer(const io::HttpRequest& request,
                                const SendTerms& terms) const = 0;
  // Returns the headers with which a peer gets the caller's request: those of
  // the caller, but for the time that is left.
  virtual io::Headers ForPeer(const io::HttpRequest& request,
                              Duration time_left) const = 0;
  // Returns the fields of an answer; headers that cannot be parsed count as
  // absent.
  virtual AnswerHead ReadAnswer(int status,
                                const io::Headers& headers) const = 0;
  // Returns the headers for the caller, from the backend server's.
  virtual io::Headers ForCaller(const io::Headers& headers) const = 0;
};

}  // namespace oleander::ports

#endif  // OLEANDER_PORTS_CALL_PORT_H_
