// Checks of invariants, active in release builds too.
//
// A failed invariant is a fault of this program, never of a caller. It is
// counted and passed to the handler of the process. The default handler aborts
// the process; oleanderd installs one that logs the failure.
#ifndef OLEANDER_INVARIANT_H_
#define OLEANDER_INVARIANT_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace oleander {

// A failed invariant: a short fixed name for metrics, and a sentence that
// contains the values.
struct InvariantFailure {
  std::string name;
  std::string message;
};

using InvariantHandler = std::function<void(const InvariantFailure&)>;

// Replaces the handler and returns the previous one.
InvariantHandler SetInvariantHandler(InvariantHandler handler);

// Returns the number of invariants that have failed in this process.
uint64_t invariant_failures();

// Reports a failure if `holds` is false. Returns `holds`, so that the caller
// can leave its state unchanged. `message` is evaluated only on failure and
// returns a full sentence.
//
//   if (!CheckInvariant(epoch > epoch_, "epoch_monotone", [&] {
//         return fmt::format("Request {} went from epoch {} to {}.", id,
//         epoch_, epoch);
//       })) {
//     return;
//   }
bool CheckInvariant(bool holds, std::string_view name,
                    const std::function<std::string()>& message);

}  // namespace oleander

#endif  // OLEANDER_INVARIANT_H_
