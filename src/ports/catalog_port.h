// Decodes what operators and backend servers write into the store.
#ifndef OLEANDER_PORTS_CATALOG_PORT_H_
#define OLEANDER_PORTS_CATALOG_PORT_H_

#include <string>

#include "absl/status/statusor.h"
#include "oleander/listed_servers.h"
#include "oleander/rollouts.h"
#include "oleander/serving_config.h"
#include "oleander/store.h"

namespace oleander::ports {

// Names the keys and parses the entries of the catalog.
class CatalogPort {
 public:
  virtual ~CatalogPort() = default;

  // Returns the key of the configuration.
  virtual const std::string& config_key() const = 0;
  // Returns the common prefix of the keys of backend servers.
  virtual const std::string& servers_prefix() const = 0;

  // Returns the parsed configuration; kProfileInvalid if it cannot be parsed.
  virtual absl::StatusOr<ServingConfigParts> ReadConfig(
      const StoreEntry& entry) const = 0;
  // Returns the id of the server whose key, under servers_prefix(), is `key`.
  virtual ServerId ServerOf(const std::string& key) const = 0;
  // Returns the parsed server; kBadAnswer if the entry describes no usable one.
  virtual absl::StatusOr<ListedServer> ReadServer(
      const StoreEntry& entry) const = 0;

  // Returns the common prefix of the keys of the operators' roll-out orders.
  virtual const std::string& rollout_orders_prefix() const = 0;
  // Returns the service whose order has this key, under
  // rollout_orders_prefix().
  virtual ServiceId RolloutServiceOf(const std::string& key) const = 0;
  // Returns the parsed order; kProfileInvalid if the entry describes no usable
  // one.
  virtual absl::StatusOr<RolloutOrder> ReadRolloutOrder(
      const StoreEntry& entry) const = 0;
  // Returns the write that tells the operators the state of a roll-out.
  virtual StorePut RolloutStatus(const RolloutStage& stage) const = 0;
};

}  // namespace oleander::ports

#endif  // OLEANDER_PORTS_CATALOG_PORT_H_
