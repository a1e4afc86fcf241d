#include "oleander/refused_calls.h"

#include <xxhash.h>

namespace oleander {
namespace {

uint64_t HashOf(std::string_view id) { return XXH64(id.data(), id.size(), 0); }

}  // namespace

void RefusedCalls::Add(std::string_view id) {
  if (hashes_.size() < kMaxCalls) {
    hashes_.insert(HashOf(id));
  }
}

bool RefusedCalls::MayCarry(std::string_view id) const {
  return hashes_.size() < kMaxCalls && !hashes_.contains(HashOf(id));
}

}  // namespace oleander
