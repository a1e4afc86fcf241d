#include "node/workspace_server.h"

#include <xxhash.h>

#include <algorithm>
#include <string>
#include <vector>

namespace oleander::node {
namespace {

uint64_t RendezvousWeight(const WorkspaceId& workspace,
                          const ServerId& server) {
  const std::string pair = workspace.value() + "/" + server.value();
  return XXH64(pair.data(), pair.size(), /*seed=*/0);
}

}  // namespace

std::optional<ServerId> WorkspaceServer(const Router& router, Time now,
                                        const ServiceId& service,
                                        const WorkspaceId& workspace,
                                        std::span<const ServerId> avoid) {
  std::vector<ServerId> usable = router.UsableServers(now, service);
  std::erase_if(usable, [&](const ServerId& server) {
    return std::ranges::find(avoid, server) != avoid.end();
  });
  const auto chosen =
      std::ranges::max_element(usable, {}, [&](const ServerId& server) {
        return RendezvousWeight(workspace, server);
      });
  return chosen == usable.end() ? std::nullopt : std::optional(*chosen);
}

}  // namespace oleander::node
