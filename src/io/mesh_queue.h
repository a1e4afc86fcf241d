// A queue of messages to one peer, bounded by number and bytes.
#ifndef OLEANDER_IO_MESH_QUEUE_H_
#define OLEANDER_IO_MESH_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace oleander::io {

struct QueuedMessage {
  std::string bytes;
  size_t message_class = 0;   // An index into kMeshClasses.
  bool carries_work = false;  // The result of CarriesWork().
};

// First in, first out. A full queue drops its oldest control messages. Work
// messages are never dropped, and a new one is refused only if dropping every
// control message does not make enough space.
class MeshQueue {
 public:
  MeshQueue(size_t max_messages, size_t max_bytes)
      : max_messages_(max_messages), max_bytes_(max_bytes) {}

  // Adds a message; returns false if there was no space for it.
  bool Push(QueuedMessage message);

  bool empty() const { return work_.empty() && control_.empty(); }
  size_t messages() const { return work_.size() + control_.size(); }
  size_t bytes() const { return bytes_; }
  // Returns the number of messages that were dropped or refused.
  uint64_t dropped() const { return dropped_; }

  // Returns the oldest message. The queue must not be empty.
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
