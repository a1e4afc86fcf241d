// The mesh's form of what instances say about quotas.
#ifndef OLEANDER_ENTRY_QUOTA_CODEC_H_
#define OLEANDER_ENTRY_QUOTA_CODEC_H_

#include "entry.pb.h"
#include "oleander/quota_messages.h"

namespace oleander::entry {

void WriteQuotaRequest(const QuotaRequest& request, entrywire::QuotaAsk& wire);
// Costs that are negative or no numbers count as zero; so does what was spent
// where it is no number.
QuotaRequest ReadQuotaRequest(const entrywire::QuotaAsk& wire);

void WriteQuotaGrant(const QuotaGrant& grant, entrywire::QuotaGrant& wire);
QuotaGrant ReadQuotaGrant(const entrywire::QuotaGrant& wire);

}  // namespace oleander::entry

#endif  // OLEANDER_ENTRY_QUOTA_CODEC_H_
