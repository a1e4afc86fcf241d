// Chooses the server of a plain service that is assigned to a workspace.
//
// The servers of a service may replicate writes with a delay, but a workspace
// must read its own writes. So all instances send the writes of a workspace to
// the same server, and its reads too unless a write mark names another server.
// The choice is a hash, so the instances need no messages to agree on it.
#ifndef OLEANDER_NODE_WORKSPACE_SERVER_H_
#define OLEANDER_NODE_WORKSPACE_SERVER_H_

#include <optional>
#include <span>

#include "oleander/routing.h"
#include "oleander/types.h"

namespace oleander::node {

// Returns the usable server with the highest hash of workspace and server
// (rendezvous hashing), excluding `avoid`, or nullopt if there is none.
std::optional<ServerId> WorkspaceServer(const Router& router, Time now,
                                        const ServiceId& service,
                                        const WorkspaceId& workspace,
                                        std::span<const ServerId> avoid);

}  // namespace oleander::node

#endif  // OLEANDER_NODE_WORKSPACE_SERVER_H_
