// Converts quota requests and grants to and from mesh messages.
#ifndef OLEANDER_ENTRY_QUOTA_CODEC_H_
#define OLEANDER_ENTRY_QUOTA_CODEC_H_

#include "entry.pb.h"
#include "oleander/quota_messages.h"

namespace oleander::entry {

void WriteQuotaRequest(const QuotaRequest& request, entrywire::QuotaAsk& wire);
// Negative and non-finite costs in `wanted` become zero; so does a non-finite
// `spent`.
QuotaRequest ReadQuotaRequest(const entrywire::QuotaAsk& wire);

void WriteQuotaGrant(const QuotaGrant& grant, entrywire::QuotaGrant& wire);
QuotaGrant ReadQuotaGrant(const entrywire::QuotaGrant& wire);

}  // namespace oleander::entry

#endif  // OLEANDER_ENTRY_QUOTA_CODEC_H_
