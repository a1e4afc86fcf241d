// A frame from another instance is either refused with a result code of the
// mesh or decoded to an envelope that survives encoding and decoding unchanged.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "io/mesh.h"
#include "io/mesh_codec.h"
#include "oleander/result_code.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using oleander::CodeOf;
  using oleander::ResultCode;
  namespace io = oleander::io;
  const auto decoded =
      io::DecodeEnvelope({reinterpret_cast<const char*>(data), size});
  if (!decoded.ok()) {
    const ResultCode code = CodeOf(decoded.status());
    if (code != ResultCode::kMeshBadFrame &&
        code != ResultCode::kMeshWrongVersion) {
      std::abort();
    }
    return 0;
  }
  const auto again = io::DecodeEnvelope(io::EncodeEnvelope(*decoded));
  const bool holds = again.ok() && again->version() == io::kMeshVersion &&
                     again->from() == decoded->from() &&
                     io::MeshClassOf(*again) == io::MeshClassOf(*decoded) &&
                     io::MeshClassOf(*again) != 0;
  if (!holds) {
    std::abort();
  }
  return 0;
}
