#include "oleander/serving_config.h"

#include <algorithm>
#include <numeric>
#include <utility>

#include "absl/strings/str_cat.h"

namespace oleander {
namespace {

std::string RouteKey(std::string_view host, std::string_view prefix) {
  return absl::StrCat(absl::string_view(host.data(), host.size()), " ",
                      absl::string_view(prefix.data(), prefix.size()));
}

}  // namespace

ServingConfig::ServingConfig(ServingConfigParts parts)
    : parts_(std::move(parts)) {
  for (size_t i = 0; i < parts_.routes.size(); ++i) {
    routes_.emplace(RouteKey(parts_.routes[i].host, parts_.routes[i].prefix),
                    i);
  }
  for (size_t i = 0; i < parts_.workspaces.size(); ++i) {
    for (const std::string& credential : parts_.workspaces[i].credentials) {
      credentials_.emplace(credential, i);
    }
  }
  for (size_t i = 0; i < parts_.services.size(); ++i) {
    services_.emplace(parts_.services[i].id, i);
  }
}

std::shared_ptr<const ServingConfig> ServingConfig::Create(
    ServingConfigParts parts) {
  return std::shared_ptr<const ServingConfig>(
      new ServingConfig(std::move(parts)));
}

const CallRoute* ServingConfig::FindRoute(std::string_view host,
                                          std::string_view path) const {
  size_t end = path.rfind('/');
  while (end != std::string_view::npos) {
    if (const CallRoute* route = RouteAt(host, path.substr(0, end + 1));
        route != nullptr) {
      return route;
    }
    if (end == 0) {
      break;
    }
    end = path.rfind('/', end - 1);
  }
  return nullptr;
}

const CallRoute* ServingConfig::RouteAt(std::string_view host,
                                        std::string_view prefix) const {
  const auto found = routes_.find(RouteKey(host, prefix));
  return found == routes_.end() ? nullptr : &parts_.routes[found->second];
}

const Workspace* ServingConfig::FindWorkspace(
    std::string_view credential) const {
  const auto found = credentials_.find(
      absl::string_view(credential.data(), credential.size()));
  return found == credentials_.end() ? nullptr
                                     : &parts_.workspaces[found->second];
}

const ServiceRule* ServingConfig::FindService(const ServiceId& service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? nullptr : &parts_.services[found->second];
}

const ServiceId& PickTarget(const CallRoute& route, double draw) {
  const double total =
      std::accumulate(route.targets.begin(), route.targets.end(), 0.0,
                      [](double sum, const RouteTarget& target) {
                        return sum + target.weight;
                      });
  double left = draw * total;
  const auto picked =
      std::ranges::find_if(route.targets, [&left](const RouteTarget& target) {
        left -= target.weight;
        return left < 0;
      });
  return picked == route.targets.end() ? route.targets.back().service
                                       : picked->service;
}

}  // namespace oleander
