// Routes by host and longest prefix, workspaces by credential, targets by
// weight.
#include "oleander/serving_config.h"

#include <boost/test/unit_test.hpp>

namespace oleander {
namespace {

CallRoute RouteTo(std::string name, std::string host, std::string prefix) {
  CallRoute route;
  route.name = std::move(name);
  route.host = std::move(host);
  route.prefix = std::move(prefix);
  route.targets = {{.service = ServiceId("engines")}};
  return route;
}

std::shared_ptr<const ServingConfig> SampleConfig() {
  ServingConfigParts parts;
  parts.routes = {RouteTo("all", "a.example", "/"),
                  RouteTo("orders", "a.example", "/orders/"),
                  RouteTo("old-orders", "a.example", "/orders/old/"),
                  RouteTo("other-host", "b.example", "/orders/")};
  Workspace bakery;
  bakery.id = WorkspaceId("bakery");
  bakery.credentials = {"key-1", "key-2"};
  parts.workspaces = {bakery};
  return ServingConfig::Create(std::move(parts));
}

BOOST_AUTO_TEST_SUITE(serving_config)

BOOST_AUTO_TEST_SUITE(a_route)

BOOST_AUTO_TEST_CASE(is_the_one_with_the_longest_prefix_of_its_host) {
  const auto config = SampleConfig();
  BOOST_TEST(config->FindRoute("a.example", "/")->name == "all");
  BOOST_TEST(config->FindRoute("a.example", "/orders")->name == "all");
  BOOST_TEST(config->FindRoute("a.example", "/orders/")->name == "orders");
  BOOST_TEST(config->FindRoute("a.example", "/orders/7/x")->name == "orders");
  BOOST_TEST(config->FindRoute("a.example", "/orders/old/7")->name ==
             "old-orders");
  BOOST_TEST(config->FindRoute("b.example", "/orders/7")->name == "other-host");
}

BOOST_AUTO_TEST_CASE(is_missing_for_other_hosts_and_paths) {
  const auto config = SampleConfig();
  BOOST_TEST(config->FindRoute("c.example", "/orders/7") == nullptr);
  BOOST_TEST(config->FindRoute("b.example", "/") == nullptr);
  BOOST_TEST(config->FindRoute("b.example", "") == nullptr);
  BOOST_TEST(config->FindRoute("b.example", "orders") == nullptr);
}

BOOST_AUTO_TEST_CASE(may_repeat_by_its_kind_alone) {
  CallRoute route;
  route.kind = CallKind::kOnce;
  BOOST_TEST(!route.may_repeat());
  route.resumable = true;
  BOOST_TEST(!route.may_repeat());
  route.kind = CallKind::kStream;
  BOOST_TEST(route.may_repeat());
  route.resumable = false;
  BOOST_TEST(!route.may_repeat());
  route.kind = CallKind::kRepeatable;
  BOOST_TEST(route.may_repeat());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(a_workspace_is_found_by_each_of_its_credentials) {
  const auto config = SampleConfig();
  BOOST_TEST(config->FindWorkspace("key-1")->id.value() == "bakery");
  BOOST_TEST(config->FindWorkspace("key-2")->id.value() == "bakery");
  BOOST_TEST(config->FindWorkspace("key-3") == nullptr);
  BOOST_TEST(config->FindWorkspace("") == nullptr);
}

BOOST_AUTO_TEST_CASE(a_split_route_divides_its_calls_by_weight) {
  CallRoute route;
  route.targets = {{.service = ServiceId("new"), .weight = 1},
                   {.service = ServiceId("none"), .weight = 0},
                   {.service = ServiceId("old"), .weight = 3}};
  BOOST_TEST(PickTarget(route, 0.0).value() == "new");
  BOOST_TEST(PickTarget(route, 0.24).value() == "new");
  BOOST_TEST(PickTarget(route, 0.26).value() == "old");
  BOOST_TEST(PickTarget(route, 0.999).value() == "old");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander
