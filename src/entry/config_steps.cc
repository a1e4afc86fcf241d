#include "entry/config_steps.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "entry/config_codec.h"
#include "oleander/result_code.h"

namespace oleander::entry {
namespace {

constexpr size_t kMaxSteps = 16;
constexpr size_t kMaxStepBytes = size_t{1} << 20;
// A slow link passes several parts within the time for a reply.
constexpr size_t kPartBytes = size_t{64} << 10;
constexpr size_t kMaxTransfers = 3;
constexpr size_t kMaxTransferBytes = size_t{64} << 20;

}  // namespace

void ConfigSteps::OnApplied(const ServingConfigPtr& before,
                            const ServingConfig& after) {
  if (before == nullptr) {
    Clear();
    return;
  }
  entrywire::ConfigStep step;
  step.set_base_version(before->version());
  step.set_version(after.version());
  step.set_document(EncodeConfigChange(*before, after));
  Retain(std::move(step));
}

void ConfigSteps::OnReceived(const entrywire::ConfigStepList& received) {
  for (const entrywire::ConfigStep& step : received.steps()) {
    if (step.base_version() == 0) {
      Clear();
    } else {
      Retain(step);
    }
  }
}

void ConfigSteps::Clear() {
  steps_.clear();
  bytes_ = 0;
}

void ConfigSteps::Retain(entrywire::ConfigStep step) {
  if (!steps_.empty() && steps_.back().version() != step.base_version()) {
    Clear();
  }
  bytes_ += step.document().size();
  steps_.push_back(std::move(step));
  while (steps_.size() > kMaxSteps || bytes_ > kMaxStepBytes) {
    bytes_ -= steps_.front().document().size();
    steps_.pop_front();
  }
}

void ConfigSteps::WritePart(const entrywire::ConfigAsk& query,
                            const ServingConfig& config,
                            entrywire::ConfigTell& reply) {
  if (query.version() >= config.version()) {
    return;
  }
  const Transfer& transfer = TransferFor(query, config);
  const bool continues = query.target() == transfer.version &&
                         query.offset() < transfer.bytes.size();
  const size_t offset = continues ? query.offset() : 0;
  reply.set_target(transfer.version);
  reply.set_offset(offset);
  reply.set_size(transfer.bytes.size());
  reply.set_part(transfer.bytes.substr(offset, kPartBytes));
}

// A transfer that has begun goes on, also after a newer version is in force.
const ConfigSteps::Transfer& ConfigSteps::TransferFor(
    const entrywire::ConfigAsk& query, const ServingConfig& config) {
  const int64_t target =
      query.target() != 0 ? query.target() : config.version();
  const auto known =
      std::ranges::find_if(transfers_, [&](const Transfer& transfer) {
        return transfer.base_version == query.version() &&
               transfer.version == target;
      });
  if (known != transfers_.end()) {
    return *known;
  }
  transfers_.push_back(
      {.base_version = query.version(),
       .version = config.version(),
       .bytes = StepsSince(query.version(), config).SerializeAsString()});
  if (transfers_.size() > kMaxTransfers) {
    transfers_.pop_front();
  }
  return transfers_.back();
}

entrywire::ConfigStepList ConfigSteps::StepsSince(
    int64_t version, const ServingConfig& config) const {
  entrywire::ConfigStepList list;
  const auto first =
      std::ranges::find(steps_, version, &entrywire::ConfigStep::base_version);
  if (first != steps_.end() && steps_.back().version() == config.version()) {
    std::ranges::for_each(first, steps_.end(), [&list](const auto& step) {
      *list.add_steps() = step;
    });
    return list;
  }
  entrywire::ConfigStep& whole = *list.add_steps();
  whole.set_version(config.version());
  whole.set_document(EncodeConfig(config));
  return list;
}

bool ConfigTransfer::Add(const entrywire::ConfigTell& part) {
  if (part.offset() == 0) {
    target_ = part.target();
    size_ = std::min<size_t>(part.size(), kMaxTransferBytes);
    bytes_.clear();
  }
  if (part.target() != target_ || part.offset() != bytes_.size() ||
      part.part().empty() || bytes_.size() + part.part().size() > size_) {
    return false;
  }
  bytes_ += part.part();
  return true;
}

absl::StatusOr<entrywire::ConfigStepList> ConfigTransfer::Steps() const {
  entrywire::ConfigStepList list;
  if (!list.ParseFromString(bytes_)) {
    return MakeError(
        ResultCode::kMeshBadFrame,
        fmt::format("Steps of a configuration of {} bytes do not parse.",
                    bytes_.size()));
  }
  return list;
}

absl::StatusOr<ServingConfigPtr> ApplySteps(
    ServingConfigPtr config, const entrywire::ConfigStepList& steps) {
  for (const entrywire::ConfigStep& step : steps.steps()) {
    const int64_t version = config == nullptr ? 0 : config->version();
    if (step.version() <= version) {
      continue;
    }
    if (step.base_version() != 0 && step.base_version() != version) {
      return MakeError(
          ResultCode::kMeshBadFrame,
          fmt::format("A change of the configuration is of version {}, but "
                      "version {} is in force.",
                      step.base_version(), version));
    }
    auto next = DecodeConfig(step.base_version() == 0 ? nullptr : config.get(),
                             step.document());
    if (!next.ok()) {
      return next.status();
    }
    if ((*next)->version() != step.version()) {
      return MakeError(
          ResultCode::kMeshBadFrame,
          fmt::format("A configuration announced as version {} is version {}.",
                      step.version(), (*next)->version()));
    }
    config = *std::move(next);
  }
  return config;
}

}  // namespace oleander::entry
