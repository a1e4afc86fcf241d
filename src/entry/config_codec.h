// Converts configurations to and from the messages of the mesh.
//
// A whole configuration of thousands of routes has hundreds of kilobytes, but
// one version mostly differs from the next one in few routes. So an instance
// that has an earlier version receives only the change. Both forms are
// compressed.
#ifndef OLEANDER_ENTRY_CONFIG_CODEC_H_
#define OLEANDER_ENTRY_CONFIG_CODEC_H_

#include <memory>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "oleander/serving_config.h"

namespace oleander::entry {

std::string EncodeConfig(const ServingConfig& config);
// Encodes what has to change in `base` to get `config`.
std::string EncodeConfigChange(const ServingConfig& base,
                               const ServingConfig& config);

// Returns the encoded configuration, which is a change of `base` if that isn't
// null; kMeshBadFrame if the bytes cannot be decoded or change another base.
absl::StatusOr<std::shared_ptr<const ServingConfig>> DecodeConfig(
    const ServingConfig* base, std::string_view bytes);

}  // namespace oleander::entry

#endif  // OLEANDER_ENTRY_CONFIG_CODEC_H_
