// Messages that wait for one peer, bounded by number and bytes.
#ifndef OLEANDER_IO_MESH_QUEUE_H_
#define OLEANDER_IO_MESH_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace oleander::io {

struct QueuedMessage {
  std::string bytes;
  size_t message_class = 0;   // An index of kMeshClasses.
  bool carries_work = false;  // Dropped only where nothing else is left.
};

// First in, first out. Where it is full, the oldest control message goes; work
// is never dropped for a control message, and new work is refused only where
// the queue holds nothing but work.
class MeshQueue {
 public:
  MeshQueue(size_t max_messages, size_t max_bytes)
      : max_messages_(max_messages), max_bytes_(max_bytes) {}

  // Whether the message was taken.
  bool Push(QueuedMessage message);

  bool empty() const { return work_.empty() && control_.empty(); }
  size_t messages() const { return work_.size() + control_.size(); }
  size_t bytes() const { return bytes_; }
  // Messages that were dropped or not taken.
  uint64_t dropped() const { return dropped_; }

  // The oldest message; the queue is not empty.
  const QueuedMessage& front() const;
  void Pop();

 private:
  struct Entry {
    uint64_t order;
    QueuedMessage message;
  };

  bool HasSpaceFor(const QueuedMessage& message) const;
  bool WorkIsFirst() const;
  void DropFront(std::deque<Entry>& entries);

  size_t max_messages_;
  size_t max_bytes_;
  size_t bytes_ = 0;
  uint64_t next_order_ = 0;
  uint64_t dropped_ = 0;
  std::deque<Entry> work_;
  std::deque<Entry> control_;
};

}  // namespace oleander::io

#endif  // OLEANDER_IO_MESH_QUEUE_H_
