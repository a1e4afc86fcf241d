// An entry instance on a platform with a store. It forwards callers' requests
// to backend servers and returns their answers, on one event loop on one
// thread.
#ifndef OLEANDER_ENTRY_ENTRY_NODE_H_
#define OLEANDER_ENTRY_ENTRY_NODE_H_

#include <functional>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "entry/settings.h"
#include "io/http_client.h"
#include "ports/call_port.h"
#include "ports/catalog_port.h"
#include "ports/duty_port.h"
#include "ports/store_port.h"

namespace oleander::entry {

// Interfaces to the platform on which the instance runs.
struct Ports {
  std::unique_ptr<ports::CallPort> calls;
  std::unique_ptr<ports::CatalogPort> catalog;
  std::unique_ptr<ports::StorePort> store;
  std::unique_ptr<ports::DutyPort> duties;
};
using PortsFactory =
    std::function<Ports(const EntrySettings& settings, io::HttpClient& client,
                        ports::EraObserver on_era)>;

//   auto node = EntryNode::Create(settings, "settings.jsonc", factory);
//   if (!node.ok()) return Report(node.status());
//   (*node)->Run();  // Until SIGTERM and the end of the drain.
class EntryNode {
 public:
  // Opens the listening sockets. Requests are served only once Run() is called.
  // Returns an error if a socket can't be opened.
  static absl::StatusOr<std::unique_ptr<EntryNode>> Create(
      const EntrySettings& settings, std::string settings_file,
      const PortsFactory& factory);
  ~EntryNode();

  // Serves until SIGTERM and the end of the drain that it starts.
  void Run();

 private:
  class Impl;
  explicit EntryNode(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace oleander::entry

#endif  // OLEANDER_ENTRY_ENTRY_NODE_H_
