// A server's certificate and key, reloaded when the files change.
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

// Open connections keep the certificate that they started with.
class TlsContext {
 public:
  // Returns kSettingsInvalid if a file can't be read or if the key does not
  // match the certificate.
  static absl::StatusOr<TlsContext> Load(const TlsFiles& files);

  // Reloads the files if they have changed since the last check. After an error
  // the earlier certificate stays in use, and the error is returned only once
  // for the same files.
  absl::Status Refresh();

  SSL_CTX* raw() const { return context_.get(); }
  // Returns how often the files were loaded successfully.
  int loads() const { return loads_; }

 private:
  struct Free {
    void operator()(SSL_CTX* context) const { SSL_CTX_free(context); }
  };
  using Context = std::unique_ptr<SSL_CTX, Free>;

  // File attributes that change when the file is written or replaced.
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
