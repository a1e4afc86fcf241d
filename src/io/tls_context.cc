#include "io/tls_context.h"

#include <fmt/format.h>
#include <openssl/err.h>

#include <array>
#include <utility>

#include "oleander/result_code.h"

namespace oleander::io {
namespace {

// Returns the first error of OpenSSL's queue and clears the queue.
std::string TakeOpenSslError() {
  const unsigned long error = ERR_get_error();  // NOLINT(google-runtime-int)
  std::array<char, 256> text = {};
  ERR_error_string_n(error, text.data(), text.size());
  ERR_clear_error();
  return text.data();
}

absl::Status FileError(const std::string& file, std::string_view expected) {
  return MakeError(ResultCode::kSettingsInvalid,
                   fmt::format("TLS file \"{}\" is not a {}: {}.", file,
                               expected, TakeOpenSslError()));
}

}  // namespace

absl::StatusOr<TlsContext> TlsContext::Load(const TlsFiles& files) {
  TlsContext loaded(files);
  loaded.checked_stamps_ = loaded.CurrentStamps();
  absl::Status read = loaded.Read();
  if (!read.ok()) {
    return read;
  }
  return loaded;
}

absl::Status TlsContext::Refresh() {
  const Stamps now = CurrentStamps();
  if (now == checked_stamps_) {
    return absl::OkStatus();
  }
  checked_stamps_ = now;
  return Read();
}

TlsContext::FileStamp TlsContext::StampOf(const std::string& file) {
  struct stat found = {};
  if (stat(file.c_str(), &found) != 0) {
    return {};
  }
  constexpr int64_t kNanoseconds = 1'000'000'000;
  return {.inode = found.st_ino,
          .size = found.st_size,
          .modified_ns =
              found.st_mtim.tv_sec * kNanoseconds + found.st_mtim.tv_nsec};
}

TlsContext::Stamps TlsContext::CurrentStamps() const {
  return {.certificate = StampOf(files_.certificate_file),
          .key = StampOf(files_.key_file)};
}

absl::Status TlsContext::Read() {
  ERR_clear_error();
  Context context(SSL_CTX_new(TLS_server_method()));
  SSL_CTX_set_min_proto_version(context.get(), TLS1_2_VERSION);
  SSL_CTX_set_mode(context.get(), SSL_MODE_RELEASE_BUFFERS);
  SSL_CTX_set_options(context.get(), SSL_OP_NO_COMPRESSION);
  if (SSL_CTX_use_certificate_chain_file(
          context.get(), files_.certificate_file.c_str()) != 1) {
    return FileError(files_.certificate_file, "certificate in PEM format");
  }
  // This also checks that the key matches the certificate.
  if (SSL_CTX_use_PrivateKey_file(context.get(), files_.key_file.c_str(),
                                  SSL_FILETYPE_PEM) != 1) {
    return FileError(files_.key_file,
                     "key in PEM format that matches the certificate");
  }
  context_ = std::move(context);
  ++loads_;
  return absl::OkStatus();
}

}  // namespace oleander::io
