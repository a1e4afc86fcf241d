#include "io/mesh_queue.h"

#include <utility>

namespace oleander::io {

bool MeshQueue::HasSpaceFor(const QueuedMessage& message) const {
  return messages() < max_messages_ &&
         bytes_ + message.bytes.size() <= max_bytes_;
}

bool MeshQueue::Push(QueuedMessage message) {
  while (!HasSpaceFor(message) && !control_.empty()) {
    DropFront(control_);
    ++dropped_;
  }
  if (!HasSpaceFor(message)) {
    ++dropped_;
    return false;
  }
  bytes_ += message.bytes.size();
  auto& entries = message.carries_work ? work_ : control_;
  entries.push_back({.order = next_order_++, .message = std::move(message)});
  return true;
}

bool MeshQueue::WorkIsFirst() const {
  return control_.empty() ||
         (!work_.empty() && work_.front().order < control_.front().order);
}

const QueuedMessage& MeshQueue::front() const {
  return WorkIsFirst() ? work_.front().message : control_.front().message;
}

void MeshQueue::Pop() { DropFront(WorkIsFirst() ? work_ : control_); }

void MeshQueue::DropFront(std::deque<Entry>& entries) {
  bytes_ -= entries.front().message.bytes.size();
  entries.pop_front();
}

}  // namespace oleander::io
