// Which server of a plain service is a workspace's own.
//
// A service whose servers copy writes to each other late must show a workspace
// its own writes. So all instances send a workspace's writes to one server, and
// its reads too unless they know better; no message is needed for that.
#ifndef OLEANDER_NODE_WORKSPACE_SERVER_H_
#define OLEANDER_NODE_WORKSPACE_SERVER_H_

#include <optional>
#include <span>

#include "oleander/routing.h"
#include "oleander/types.h"

namespace oleander::node {

// The usable server with the highest hash of workspace and server (rendezvous
// hashing), leaving out `avoid`; nothing where no server is usable.
std::optional<ServerId> WorkspaceServer(const Router& router, Time now,
                                        const ServiceId& service,
                                        const WorkspaceId& workspace,
                                        std::span<const ServerId> avoid);

}  // namespace oleander::node

#endif  // OLEANDER_NODE_WORKSPACE_SERVER_H_
