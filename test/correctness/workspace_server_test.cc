// The choice of the server that gets a workspace's writes and reads of a plain
// service.
#include "node/workspace_server.h"

#include <boost/test/unit_test.hpp>
#include <set>
#include <string>
#include <vector>

namespace oleander::node {
namespace {

const ServiceId kService("ledger");
const Time kNow = Time(std::chrono::seconds(100));

ServerInfo Desk(const std::string& id) {
  ServerInfo info;
  info.id = ServerId(id);
  info.service = kService;
  info.kind = ServerKind::kPlain;
  info.location = {.region = RegionId("r"), .domain = DomainId("d")};
  return info;
}

// The router of an instance that knows these desks, listed in this order.
struct Instance {
  explicit Instance(const std::vector<std::string>& desks) {
    std::vector<ServerInfo> infos;
    infos.reserve(desks.size());
    for (const std::string& desk : desks) {
      infos.push_back(Desk(desk));
    }
    router.SetServers(kNow, infos);
    for (const std::string& desk : desks) {
      ServerLoad load;
      load.server = ServerId(desk);
      router.OnLoad(kNow, load);
    }
  }

  std::optional<ServerId> ServerFor(const std::string& workspace,
                                    const std::vector<ServerId>& avoid = {}) {
    return WorkspaceServer(router, kNow, kService, WorkspaceId(workspace),
                           avoid);
  }

  Router router{RoutingOptions{
      .location = {.region = RegionId("r"), .domain = DomainId("d")}}};
};

BOOST_AUTO_TEST_SUITE(a_workspaces_own_server)

BOOST_AUTO_TEST_CASE(is_the_same_on_every_instance) {
  Instance one({"a", "b", "c"});
  Instance other({"c", "a", "b"});
  std::set<std::string> used;
  for (int i = 0; i < 50; ++i) {
    const std::string workspace = "workspace-" + std::to_string(i);
    const auto server = one.ServerFor(workspace);
    BOOST_REQUIRE(server.has_value());
    BOOST_TEST((server == other.ServerFor(workspace)));
    used.insert(server->value());
  }
  BOOST_TEST(used.size() == 3u);  // No desk gets all workspaces.
}

BOOST_AUTO_TEST_CASE(changes_only_when_it_is_excluded) {
  Instance instance({"a", "b", "c"});
  const auto own = instance.ServerFor("w");
  BOOST_REQUIRE(own.has_value());
  for (const char* other : {"a", "b", "c"}) {
    const ServerId avoided(other);
    const auto server = instance.ServerFor("w", {avoided});
    BOOST_REQUIRE(server.has_value());
    BOOST_TEST(*server != avoided);
    BOOST_TEST((avoided == *own || server == own));
  }
}

BOOST_AUTO_TEST_CASE(is_none_if_no_server_takes_work) {
  Instance instance({"a"});
  instance.router.OnLeaving(kNow, ServerId("a"));
  BOOST_TEST(!instance.ServerFor("w").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander::node
