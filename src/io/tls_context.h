// A server's certificate and key, read again when the files change.
#ifndef OLEANDER_IO_TLS_CONTEXT_H_
#define OLEANDER_IO_TLS_CONTEXT_H_

#include <openssl/ssl.h>
#include <sys/stat.h>

#include <memory>
#include <string>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "io/http_server.h"

namespace oleander::io {

// Connections under way keep the certificate with which they began.
class TlsContext {
 public:
  // kSettingsInvalid where a file can't be read, or where key and certificate
  // do not belong together.
  static absl::StatusOr<TlsContext> Load(const TlsFiles& files);

  // Reads the files where they have changed since the last look. An error
  // leaves the earlier certificate in use, and is not told again for the same
  // files.
  absl::Status Refresh();

  SSL_CTX* raw() const { return context_.get(); }
  // How often the files were read with success.
  int loads() const { return loads_; }

 private:
  struct Free {
    void operator()(SSL_CTX* context) const { SSL_CTX_free(context); }
  };
  using Context = std::unique_ptr<SSL_CTX, Free>;

  // What changes when a file is written or replaced.
  struct FileStamp {
    ino_t inode = 0;
    off_t size = 0;
    int64_t modified_ns = 0;
    auto operator<=>(const FileStamp&) const = default;
  };
  struct Stamps {
    FileStamp certificate;
    FileStamp key;
    auto operator<=>(const Stamps&) const = default;
  };

  explicit TlsContext(TlsFiles files) : files_(std::move(files)) {}

  static FileStamp StampOf(const std::string& file);
  Stamps CurrentStamps() const;
  absl::Status Read();

  TlsFiles files_;
  Stamps checked_stamps_;
  Context context_;
  int loads_ = 0;
};

}  // namespace oleander::io

#endif  // OLEANDER_IO_TLS_CONTEXT_H_
