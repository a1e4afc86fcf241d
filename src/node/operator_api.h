// The operators' HTTP API: status, profiles, members, servers, audit, requests,
// metrics.
#ifndef OLEANDER_NODE_OPERATOR_API_H_
#define OLEANDER_NODE_OPERATOR_API_H_

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "io/event_loop.h"
#include "io/http_server.h"
#include "node/caller_api.h"
#include "node/load_driver.h"
#include "node/membership_driver.h"
#include "node/operator_token.h"
#include "node/profile_driver.h"
#include "node/server_directory.h"
#include "node/store_gateway.h"

namespace oleander::node {

struct OperatorApiParts {
  io::EventLoop& loop;
  OperatorToken token;
  ProfileDriver& profiles;
  MembershipDriver& members;
  LoadDriver& load;
  Router& router;
  ServerDirectory& servers;
  StoreGateway& store;
  RequestApi& requests;
  std::function<std::string()> not_ready;
  std::function<nlohmann::json()> status;
  std::function<std::string()> metrics_text;
};

class OperatorApi {
 public:
  explicit OperatorApi(OperatorApiParts parts) : parts_(std::move(parts)) {}

  void Handle(const std::shared_ptr<io::HttpExchange>& exchange);

 private:
  using Exchange = std::shared_ptr<io::HttpExchange>;
  using Segments = std::vector<std::string>;

  struct Route {
    std::string_view method;
    std::string_view first;  // The segment after /v1.
    size_t parts;            // Number of segments after /v1, including `first`.
    std::string_view last;   // The last segment; empty matches any.
    void (OperatorApi::*handle)(const Exchange&, const Segments&);
  };
  static std::span<const Route> Routes();

  void Status(const Exchange& exchange, const Segments& segments);
  void Members(const Exchange& exchange, const Segments& segments);
  void Servers(const Exchange& exchange, const Segments& segments);
  void Audit(const Exchange& exchange, const Segments& segments);
  void ListProfiles(const Exchange& exchange, const Segments& segments);
  void ShowProfile(const Exchange& exchange, const Segments& segments);
  void PutProfile(const Exchange& exchange, const Segments& segments);
  void DeleteProfile(const Exchange& exchange, const Segments& segments);
  void History(const Exchange& exchange, const Segments& segments);
  void InForce(const Exchange& exchange, const Segments& segments);

  void Edit(const Exchange& exchange, ProfileEdit edit);
  void RespondAudit(const Exchange& exchange, const std::string& prefix);

  OperatorApiParts parts_;
};

}  // namespace oleander::node

#endif  // OLEANDER_NODE_OPERATOR_API_H_
