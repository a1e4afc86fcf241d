// One entry instance: every part wired to the io layer on one loop on one
// thread.
#ifndef OLEANDER_NODE_NODE_H_
#define OLEANDER_NODE_NODE_H_

#include <memory>

#include "absl/status/statusor.h"
#include "node/settings.h"

namespace oleander::node {

//   auto node = Node::Create(settings);
//   if (!node.ok()) return Report(node.status());
//   (*node)->Run();  // Until a signal, a reclaim notice, or the end of the
//   drain.
class Node {
 public:
  // Reads keys and tokens and takes the listeners; nothing is served before
  // Run().
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
