#include "entry/quota_codec.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace oleander::entry {
namespace {

double Finite(double value) { return std::isfinite(value) ? value : 0; }

}  // namespace

void WriteQuotaRequest(const QuotaRequest& request, entrywire::QuotaAsk& wire) {
  wire.set_group(static_cast<uint32_t>(request.group));
  wire.set_round(request.round);
  wire.set_leaving(request.leaving);
  for (const QuotaRequestItem& item : request.items) {
    entrywire::QuotaAskItem& written = *wire.add_items();
    written.set_workspace(item.workspace.value());
    written.set_spent(item.spent);
    written.mutable_wanted()->Add(item.wanted.begin(), item.wanted.end());
  }
}

QuotaRequest ReadQuotaRequest(const entrywire::QuotaAsk& wire) {
  QuotaRequest request{.group = wire.group(),
                       .round = wire.round(),
                       .leaving = wire.leaving(),
                       .items = {}};
  for (const entrywire::QuotaAskItem& item : wire.items()) {
    QuotaRequestItem read{.workspace = WorkspaceId(item.workspace()),
                          .spent = Finite(item.spent()),
                          .wanted = {}};
    std::ranges::transform(
        item.wanted(), std::back_inserter(read.wanted),
        [](double cost) { return std::max(0.0, Finite(cost)); });
    request.items.push_back(std::move(read));
  }
  return request;
}

void WriteQuotaGrant(const QuotaGrant& grant, entrywire::QuotaGrant& wire) {
  wire.set_group(static_cast<uint32_t>(grant.group));
  wire.set_round(grant.round);
  wire.set_retired(grant.retired);
  for (const QuotaGrantItem& item : grant.items) {
    entrywire::QuotaGrantItem& written = *wire.add_items();
    written.set_workspace(item.workspace.value());
    for (const Duration wait : item.waits) {
      written.add_waits_us(wait.count());
    }
  }
  for (const WorkspaceId& workspace : grant.nearly_exhausted) {
    wire.add_scarce(workspace.value());
  }
}

QuotaGrant ReadQuotaGrant(const entrywire::QuotaGrant& wire) {
  QuotaGrant grant{.group = wire.group(),
                   .round = wire.round(),
                   .retired = wire.retired(),
                   .items = {},
                   .nearly_exhausted = {}};
  for (const entrywire::QuotaGrantItem& item : wire.items()) {
    QuotaGrantItem read{.workspace = WorkspaceId(item.workspace()),
                        .waits = {}};
    std::ranges::transform(item.waits_us(), std::back_inserter(read.waits),
                           [](int64_t wait) { return Duration(wait); });
    grant.items.push_back(std::move(read));
  }
  std::ranges::transform(
      wire.scarce(), std::back_inserter(grant.nearly_exhausted),
      [](const std::string& name) { return WorkspaceId(name); });
  return grant;
}

}  // namespace oleander::entry
