// Invariants that hold on every transition, in release builds too.
//
// A failed invariant is a fault of this program, never of a caller. It is
// counted and handed to the process's handler; by default the handler ends the
// process, and oleanderd installs one that logs it.
#ifndef OLEANDER_INVARIANT_H_
#define OLEANDER_INVARIANT_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace oleander {

// What failed: a short fixed name for metrics, and a sentence that names the
// values.
struct InvariantFailure {
  std::string name;
  std::string message;
};

using InvariantHandler = std::function<void(const InvariantFailure&)>;

// Replaces the handler and returns the earlier one.
InvariantHandler SetInvariantHandler(InvariantHandler handler);

// How many invariants have failed in this process.
uint64_t invariant_failures();

// Reports a failure where `holds` is false, and returns `holds` so that the
// caller can leave its state untouched. `message` is evaluated lazily: it
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
