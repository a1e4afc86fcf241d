// The configuration in force as an instance sends it to others: as a whole, or
// as the changes since the version that the other one has.
//
//   ConfigSteps steps;
//   steps.OnApplied(before, after);
//   steps.WritePart(query, after, reply);
#ifndef OLEANDER_ENTRY_CONFIG_STEPS_H_
#define OLEANDER_ENTRY_CONFIG_STEPS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "entry.pb.h"
#include "oleander/serving_config.h"

namespace oleander::entry {

using ServingConfigPtr = std::shared_ptr<const ServingConfig>;

// Retains the last changes, bounded by their number and size.
class ConfigSteps {
 public:
  // The configuration changed from `before`, which may be null, to `after`.
  // Encodes the change.
  void OnApplied(const ServingConfigPtr& before, const ServingConfig& after);
  // A configuration was put together from `received`. Retains these steps.
  void OnReceived(const entrywire::ConfigStepList& received);
  // Discards all steps, since those that led to the version in force are not
  // known.
  void Clear();

  // Writes the part of the steps to `config`, which is the one in force, that
  // the query asks for; nothing if the version in the query isn't older.
  void WritePart(const entrywire::ConfigAsk& query, const ServingConfig& config,
                 entrywire::ConfigTell& reply);

 private:
  // Encoded steps from one version to another, as they are being sent.
  struct Transfer {
    int64_t base_version = 0;
    int64_t version = 0;
    std::string bytes;
  };

  void Retain(entrywire::ConfigStep step);
  const Transfer& TransferFor(const entrywire::ConfigAsk& query,
                              const ServingConfig& config);
  entrywire::ConfigStepList StepsSince(int64_t version,
                                       const ServingConfig& config) const;

  std::deque<entrywire::ConfigStep> steps_;  // Each continues the one before.
  size_t bytes_ = 0;
  std::deque<Transfer> transfers_;  // The newest last.
};

// Puts together the parts of one transfer.
class ConfigTransfer {
 public:
  // Adds a part. Returns false if it doesn't continue the transfer.
  bool Add(const entrywire::ConfigTell& part);
  bool is_complete() const { return size_ > 0 && bytes_.size() == size_; }
  int64_t target() const { return target_; }
  size_t received() const { return bytes_.size(); }
  // Returns the steps; kMeshBadFrame if they cannot be parsed.
  absl::StatusOr<entrywire::ConfigStepList> Steps() const;

 private:
  int64_t target_ = 0;
  size_t size_ = 0;
  std::string bytes_;
};

// Applies steps to `config`, which may be null. Steps that lead to versions
// that are not newer are skipped. Returns `config` itself if there is nothing
// newer; kMeshBadFrame if a step cannot be decoded or has another base.
absl::StatusOr<ServingConfigPtr> ApplySteps(
    ServingConfigPtr config, const entrywire::ConfigStepList& steps);

}  // namespace oleander::entry

#endif  // OLEANDER_ENTRY_CONFIG_STEPS_H_
