// The calls that were refused on one connection to a backend server.
//
// A server may write a refusal once more, at the point where a later response
// is expected. The copy names the refused call. If the connection carries that
// call again, its response can't be told from the copy, so the call must be
// sent on another connection.
//
//   RefusedCalls refused;
//   refused.Add("9c41");
//   refused.MayCarry("77aa");  // true: a copy would name another call
//   refused.MayCarry("9c41");  // false
//
// Designed for callers that repeat a refused call under its id, and for servers
// that share an address while one replaces the other.
#ifndef OLEANDER_REFUSED_CALLS_H_
#define OLEANDER_REFUSED_CALLS_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "absl/container/flat_hash_set.h"

namespace oleander {

class RefusedCalls {
 public:
  // A connection with more refusals than this carries no further named call.
  static constexpr size_t kMaxCalls = 64;

  // Records that a response refused the call with this id.
  void Add(std::string_view id);
  // Returns whether a response that names this call would be its own.
  bool MayCarry(std::string_view id) const;

 private:
  // Two ids with the same hash cost a new connection.
  absl::flat_hash_set<uint64_t> hashes_;
};

}  // namespace oleander

#endif  // OLEANDER_REFUSED_CALLS_H_
