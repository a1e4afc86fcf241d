#include "io/load_codec.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <utility>

#include "oleander/result_code.h"

namespace oleander::io {
namespace {

constexpr Duration kAgeStep = std::chrono::milliseconds(200);
constexpr int64_t kMaxEntryAgeSteps = 0x3F;
constexpr int64_t kMaxSummaryAgeSteps = 0xFF;
constexpr uint8_t kLeavingBit = 0x40;
constexpr uint8_t kTraitsBit = 0x80;
constexpr int kVarintBits = 7;
constexpr int kMaxVarintShift = 63;

class Packer {
 public:
  void Byte(uint8_t value) { bytes_.push_back(static_cast<char>(value)); }
  void Varint(uint64_t value) {
    while (value >= 0x80) {
      Byte(static_cast<uint8_t>(value | 0x80));
      value >>= kVarintBits;
    }
    Byte(static_cast<uint8_t>(value));
  }
  std::string Take() { return std::move(bytes_); }

 private:
  std::string bytes_;
};

// Reads the bytes that a Packer wrote. Reading past the end sets failed() and
// returns 0.
class Unpacker {
 public:
  explicit Unpacker(std::string_view bytes) : bytes_(bytes) {}

  bool done() const { return failed_ || bytes_.empty(); }
  bool failed() const { return failed_; }

  uint8_t Byte() {
    if (bytes_.empty()) {
      failed_ = true;
      return 0;
    }
    const auto value = static_cast<uint8_t>(bytes_.front());
    bytes_.remove_prefix(1);
    return value;
  }
  uint64_t Varint() {
    uint64_t value = 0;
    for (int shift = 0; shift <= kMaxVarintShift; shift += kVarintBits) {
      const uint8_t byte = Byte();
      value |= static_cast<uint64_t>(byte & 0x7F) << shift;
      if ((byte & 0x80) == 0) {
        return value;
      }
    }
    failed_ = true;
    return 0;
  }
  // Reads the difference to `previous`, which becomes the next number of the
  // increasing sequence, and returns that number.
  uint32_t NextInSequence(uint64_t& previous) {
    previous += Varint();
    if (previous > std::numeric_limits<uint32_t>::max()) {
      failed_ = true;
      previous = 0;
    }
    return static_cast<uint32_t>(previous);
  }

 private:
  std::string_view bytes_;
  bool failed_ = false;
};

// Rounds up, so that figures never appear more recent than they are.
uint8_t AgeSteps(Duration age, int64_t max_steps) {
  const int64_t steps = (age.count() + kAgeStep.count() - 1) / kAgeStep.count();
  return static_cast<uint8_t>(std::clamp<int64_t>(steps, 0, max_steps));
}

void PackTraits(const LoadTraits& traits, Packer& packer) {
  packer.Byte(traits.slots);
  packer.Byte(traits.tokens_per_s);
  packer.Byte(traits.prefill_tokens_per_s);
  packer.Byte(traits.kv_total_tokens);
  packer.Byte(traits.kv_used_tokens);
  packer.Varint(traits.version);
}

LoadTraits UnpackTraits(Unpacker& unpacker) {
  LoadTraits traits;
  traits.slots = unpacker.Byte();
  traits.tokens_per_s = unpacker.Byte();
  traits.prefill_tokens_per_s = unpacker.Byte();
  traits.kv_total_tokens = unpacker.Byte();
  traits.kv_used_tokens = unpacker.Byte();
  traits.version = unpacker.Varint();
  return traits;
}

std::string PackEntries(std::vector<LoadEntry> entries) {
  std::ranges::sort(entries, {}, &LoadEntry::server);
  Packer packer;
  uint32_t previous = 0;
  for (const LoadEntry& entry : entries) {
    packer.Varint(entry.server - std::exchange(previous, entry.server));
    uint8_t head = AgeSteps(entry.age, kMaxEntryAgeSteps);
    head |= entry.leaving ? kLeavingBit : 0;
    head |= entry.traits.has_value() ? kTraitsBit : 0;
    packer.Byte(head);
    packer.Byte(entry.running);
    packer.Byte(entry.waiting);
    packer.Byte(entry.queued_tokens);
    if (entry.traits.has_value()) {
      PackTraits(*entry.traits, packer);
    }
  }
  return packer.Take();
}

LoadEntry UnpackEntry(Unpacker& unpacker, uint64_t& server) {
  LoadEntry entry;
  entry.server = unpacker.NextInSequence(server);
  const uint8_t head = unpacker.Byte();
  entry.age = (head & kMaxEntryAgeSteps) * kAgeStep;
  entry.leaving = (head & kLeavingBit) != 0;
  entry.running = unpacker.Byte();
  entry.waiting = unpacker.Byte();
  entry.queued_tokens = unpacker.Byte();
  if ((head & kTraitsBit) != 0) {
    entry.traits = UnpackTraits(unpacker);
  }
  return entry;
}

std::string PackSummaries(std::vector<LoadSummaryEntry> summaries) {
  std::ranges::sort(summaries, {}, &LoadSummaryEntry::pool);
  Packer packer;
  uint32_t previous = 0;
  for (const LoadSummaryEntry& summary : summaries) {
    packer.Varint(summary.pool - std::exchange(previous, summary.pool));
    packer.Byte(AgeSteps(summary.age, kMaxSummaryAgeSteps));
    packer.Byte(summary.servers);
    packer.Byte(summary.running);
    packer.Byte(summary.waiting);
    packer.Byte(summary.slots);
    packer.Byte(summary.queued_tokens);
  }
  return packer.Take();
}

LoadSummaryEntry UnpackSummary(Unpacker& unpacker, uint64_t& pool) {
  LoadSummaryEntry summary;
  summary.pool = unpacker.NextInSequence(pool);
  summary.age = unpacker.Byte() * kAgeStep;
  summary.servers = unpacker.Byte();
  summary.running = unpacker.Byte();
  summary.waiting = unpacker.Byte();
  summary.slots = unpacker.Byte();
  summary.queued_tokens = unpacker.Byte();
  return summary;
}

}  // namespace

mesh::LoadMessage EncodeLoad(const LoadUpdate& update) {
  mesh::LoadMessage message;
  message.set_roster(update.roster);
  message.set_by_position(update.by_position);
  message.set_entries(PackEntries(update.entries));
  message.set_summaries(PackSummaries(update.summaries));
  return message;
}

absl::StatusOr<LoadUpdate> DecodeLoad(const mesh::LoadMessage& message) {
  LoadUpdate update;
  update.roster = message.roster();
  update.by_position = message.by_position();
  Unpacker entries(message.entries());
  for (uint64_t server = 0; !entries.done();) {
    update.entries.push_back(UnpackEntry(entries, server));
  }
  Unpacker summaries(message.summaries());
  for (uint64_t pool = 0; !summaries.done();) {
    update.summaries.push_back(UnpackSummary(summaries, pool));
  }
  if (entries.failed() || summaries.failed()) {
    return MakeError(ResultCode::kMeshBadFrame,
                     "The packed load figures of a mesh message are truncated "
                     "or out of range.");
  }
  return update;
}

}  // namespace oleander::io
