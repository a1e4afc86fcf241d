// What operators and backend servers write into the store, decoded.
#ifndef OLEANDER_PORTS_CATALOG_PORT_H_
#define OLEANDER_PORTS_CATALOG_PORT_H_

#include <string>

#include "absl/status/statusor.h"
#include "oleander/listed_servers.h"
#include "oleander/serving_config.h"
#include "oleander/store.h"

namespace oleander::ports {

class CatalogPort {
 public:
  virtual ~CatalogPort() = default;

  // The key of the operators' configuration.
  virtual const std::string& config_key() const = 0;
  // The prefix under which backend servers stand.
  virtual const std::string& servers_prefix() const = 0;

  // kProfileInvalid where the document can't be read.
  virtual absl::StatusOr<ServingConfigParts> ReadConfig(
      const StoreEntry& entry) const = 0;
  // The server that a key under servers_prefix() stands for.
  virtual ServerId ServerOf(const std::string& key) const = 0;
  // kBadAnswer where the entry names no server to use.
  virtual absl::StatusOr<ListedServer> ReadServer(
      const StoreEntry& entry) const = 0;
};

}  // namespace oleander::ports

#endif  // OLEANDER_PORTS_CATALOG_PORT_H_
