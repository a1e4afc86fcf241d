// The tree along which a configuration spreads from the readers of the
// key-value service to all instances.
//
// In each domain the instances form a tree in the order of their cores, so that
// a configuration crosses the links between domains once and no instance sends
// more than a few copies. The first instance of a domain is a child of a
// reader, of its own region if there is one. The readers announce
// configurations to each other, since one of them may read slowly. Like the
// choice of readers, the tree is a function of the serving instances, so that
// all of them agree without messages.
//
//   const ConfigTree tree(candidates, ChooseReaders(...));
//   Announce(version, tree.ChildrenOf(self));
#ifndef OLEANDER_CONFIG_TREE_H_
#define OLEANDER_CONFIG_TREE_H_

#include <map>
#include <vector>

#include "oleander/reader_choice.h"
#include "oleander/types.h"

namespace oleander {

class ConfigTree {
 public:
  ConfigTree() = default;
  ConfigTree(std::vector<ReaderCandidate> candidates,
             const std::vector<InstanceId>& readers);

  // Returns the instance that announces configurations to `instance`; empty for
  // a reader and for an unknown instance.
  InstanceId ParentOf(const InstanceId& instance) const;
  // Returns the instances to which `instance` announces configurations.
  std::vector<InstanceId> ChildrenOf(const InstanceId& instance) const;

 private:
  std::vector<InstanceId> readers_;
  std::map<InstanceId, InstanceId> parents_;  // Of all but the readers.
};

}  // namespace oleander

#endif  // OLEANDER_CONFIG_TREE_H_
