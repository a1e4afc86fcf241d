// Connects PoisonParts to calls: refuses calls whose prompts contain a
// suspected part, records the calls that were lost with their server, and
// exchanges the evidence with peers.
#ifndef OLEANDER_ENTRY_POISON_GUARD_H_
#define OLEANDER_ENTRY_POISON_GUARD_H_

#include <vector>

#include "absl/status/status.h"
#include "entry.pb.h"
#include "entry/call_context.h"
#include "oleander/poison_parts.h"
#include "ports/call_port.h"

namespace oleander::entry {

// Returns the hashes of the parts that other prompts may share: all but the
// last one, which belongs to this request alone.
std::vector<PartHash> SharedParts(const std::vector<ports::PromptPart>& prompt);

// Returns kPoisonPrompt with the evidence and the time to come back if a part
// of the call's prompt is suspected, and records the refusal.
absl::Status CheckPrompt(CallContext& context, const ports::CallIntake& call,
                         const std::vector<PartHash>& shared_parts);

// Records that the call was lost with its server before its first event, and
// notifies peers. `crash.age` is zero.
void RecordServerCrash(CallContext& context, const ports::CallIntake& call,
                       const ServerId& server, const ServerCrash& crash);
// Records the first event of an answer.
void RecordAnswer(CallContext& context,
                  const std::vector<PartHash>& shared_parts);

void WriteNews(const CrashNews& news, entrywire::CrashNews& wire);
// Applies the evidence of a peer. Excess entries are ignored.
void ApplyNews(CallContext& context, const entrywire::CrashNews& wire);

}  // namespace oleander::entry

#endif  // OLEANDER_ENTRY_POISON_GUARD_H_
