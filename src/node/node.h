// One entry instance: connects all components to the network layer (io) on one
// event loop and one thread.
#ifndef OLEANDER_NODE_NODE_H_
#define OLEANDER_NODE_NODE_H_

#include <memory>

#include "absl/status/statusor.h"
#include "node/settings.h"

namespace oleander::node {

//   auto node = Node::Create(settings);
//   if (!node.ok()) return Report(node.status());
//   (*node)->Run();
//
// Run() serves until a termination signal or a reclaim notice starts a drain,
// and returns when the drain ends.
class Node {
 public:
  // Reads keys and tokens and opens the listeners. Serves nothing before Run().
  static absl::StatusOr<std::unique_ptr<Node>> Create(const Settings& settings);
  ~Node();

  void Run();

 private:
  class Impl;
  explicit Node(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace oleander::node

#endif  // OLEANDER_NODE_NODE_H_
