// A request that passed all checks of CallHandler.
#ifndef OLEANDER_ENTRY_ACCEPTED_CALL_H_
#define OLEANDER_ENTRY_ACCEPTED_CALL_H_

#include <memory>
#include <string_view>
#include <vector>

#include "io/http_server.h"
#include "oleander/poison_parts.h"
#include "oleander/serving_config.h"
#include "oleander/types.h"
#include "ports/call_port.h"

namespace oleander::entry {

// In a request that a peer relays: the version of the configuration there. Its
// caller must not be served by an older one.
inline constexpr std::string_view kRelayedConfigHeader =
    "oleander-config-version";

struct AcceptedCall {
  std::shared_ptr<io::HttpExchange> exchange;
  // A peer that is cut off from the servers relays the request of its caller.
  bool from_peer = false;
  ports::CallIntake intake;
  std::shared_ptr<const ServingConfig> config;  // Keeps `route` alive.
  const CallRoute* route = nullptr;
  // Empty if the caller is unknown, which is allowed on public routes and in
  // configurations without workspaces.
  WorkspaceId workspace;
  ServiceId service;
  int urgency = 0;
  // What a crash of its server may be blamed on.
  std::vector<PartHash> parts;
  Time arrived;
  Time deadline;  // The earlier of the caller's and the route's.
};

}  // namespace oleander::entry

#endif  // OLEANDER_ENTRY_ACCEPTED_CALL_H_
