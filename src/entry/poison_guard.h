// Connects PoisonParts to calls: refuses calls that are suspected themselves or
// whose prompts contain a suspected part, records the calls that were lost with
// their server, and exchanges the evidence with peers.
#ifndef OLEANDER_ENTRY_POISON_GUARD_H_
#define OLEANDER_ENTRY_POISON_GUARD_H_

#include <vector>

#include "absl/status/status.h"
#include "entry.pb.h"
#include "entry/call_context.h"
#include "io/http_server.h"
#include "oleander/poison_parts.h"
#include "ports/call_port.h"

namespace oleander::entry {

// Returns what a crash of its server may be blamed on: the request as a whole
// (caller, method, target, body and prompt), and the parts that other prompts
// may share, which are all but the last one. The request comes first.
std::vector<PartHash> BlamableParts(const io::HttpRequest& request,
                                    const ports::CallIntake& call,
                                    const WorkspaceId& workspace);

// Returns kPoisonRequest or kPoisonPrompt with the evidence and the time to
// come back if one of the parts is suspected, and records the refusal.
absl::Status CheckSuspicion(CallContext& context, const ports::CallIntake& call,
                            const std::vector<PartHash>& parts);

// Records that the call was lost with its server before its first event, and
// notifies peers. `crash.parts` are BlamableParts(), `crash.age` is zero.
void RecordServerCrash(CallContext& context, const ports::CallIntake& call,
                       const ServerId& server, const ServerCrash& crash);
// Records the first event of an answer.
void RecordAnswer(CallContext& context, const std::vector<PartHash>& parts);

void WriteNews(const CrashNews& news, entrywire::CrashNews& wire);
// Applies the evidence of a peer. Excess entries are ignored.
void ApplyNews(CallContext& context, const entrywire::CrashNews& wire);

}  // namespace oleander::entry

#endif  // OLEANDER_ENTRY_POISON_GUARD_H_
