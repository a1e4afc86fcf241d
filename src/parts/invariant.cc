#include "oleander/invariant.h"

#include <fmt/format.h>

#include <cstdio>
#include <cstdlib>
#include <utility>

namespace oleander {
namespace {

void EndProcess(const InvariantFailure& failure) {
  fmt::print(stderr, "invariant {} failed: {}\n", failure.name,
             failure.message);
  std::abort();
}

InvariantHandler& CurrentHandler() {
  static InvariantHandler handler = EndProcess;
  return handler;
}

uint64_t& FailureCount() {
  static uint64_t count = 0;
  return count;
}

}  // namespace

InvariantHandler SetInvariantHandler(InvariantHandler handler) {
  return std::exchange(CurrentHandler(), std::move(handler));
}

uint64_t invariant_failures() { return FailureCount(); }

bool CheckInvariant(bool holds, std::string_view name,
                    const std::function<std::string()>& message) {
  if (holds) {
    return true;
  }
  ++FailureCount();
  CurrentHandler()({.name = std::string(name), .message = message()});
  return false;
}

}  // namespace oleander
