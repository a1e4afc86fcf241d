// Creates certificates for a test, and a TLS connection that is driven by the
// test's loop.
#ifndef OLEANDER_TEST_SUPPORT_TLS_FIXTURE_H_
#define OLEANDER_TEST_SUPPORT_TLS_FIXTURE_H_

#include <fcntl.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/ssl.h>
#include <openssl/x509.h>

#include <array>
#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <string>

#include "io/socket_address.h"

namespace oleander::io {

// A temporary directory that is removed by the destructor.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "oleander-XXXXXX").string();
    BOOST_REQUIRE(mkdtemp(pattern.data()) != nullptr);
    path_ = pattern;
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  ~TemporaryFolder() { std::filesystem::remove_all(path_); }

  std::string File(const std::string& name) const {
    return (path_ / name).string();
  }

 private:
  std::filesystem::path path_;
};

// Replaces both files with a new key and a self-signed certificate.
inline void WriteCertificate(const std::string& common_name,
                             const std::string& certificate_file,
                             const std::string& key_file) {
  EVP_PKEY* key = EVP_EC_gen("P-256");
  X509* certificate = X509_new();
  X509_set_version(certificate, 2);
  ASN1_INTEGER_set(X509_get_serialNumber(certificate), 1);
  X509_gmtime_adj(X509_getm_notBefore(certificate), -60);
  X509_gmtime_adj(X509_getm_notAfter(certificate), 3600);
  X509_set_pubkey(certificate, key);
  X509_NAME* name = X509_get_subject_name(certificate);
  X509_NAME_add_entry_by_txt(
      name, "CN", MBSTRING_ASC,
      reinterpret_cast<const unsigned char*>(common_name.c_str()), -1, -1, 0);
  X509_set_issuer_name(certificate, name);
  X509_sign(certificate, key, EVP_sha256());
  FILE* out = std::fopen((key_file + ".new").c_str(), "w");
  PEM_write_PrivateKey(out, key, nullptr, nullptr, 0, nullptr, nullptr);
  std::fclose(out);
  out = std::fopen((certificate_file + ".new").c_str(), "w");
  PEM_write_X509(out, certificate);
  std::fclose(out);
  std::filesystem::rename(key_file + ".new", key_file);
  std::filesystem::rename(certificate_file + ".new", certificate_file);
  X509_free(certificate);
  EVP_PKEY_free(key);
}

class TlsConnection {
 public:
  TlsConnection(const std::string& address, uint16_t port) {
    const auto target = ParseAddress(address, port);
    fd_ = socket(target->bytes.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
    BOOST_REQUIRE(connect(fd_, target->raw(), target->length) == 0);
    fcntl(fd_, F_SETFL, O_NONBLOCK);
    SSL_set_fd(ssl_, fd_);
    SSL_set_connect_state(ssl_);
  }
  TlsConnection(const TlsConnection&) = delete;
  TlsConnection& operator=(const TlsConnection&) = delete;
  ~TlsConnection() {
    SSL_free(ssl_);
    SSL_CTX_free(context_);
    close(fd_);
  }

  // Continues the handshake. Returns true once it is complete.
  bool Handshake() { return SSL_do_handshake(ssl_) == 1; }

  // Returns the common name in the server's certificate.
  std::string PeerName() const {
    X509* certificate = SSL_get1_peer_certificate(ssl_);
    std::array<char, 64> name = {};
    X509_NAME_get_text_by_NID(X509_get_subject_name(certificate),
                              NID_commonName, name.data(), name.size());
    X509_free(certificate);
    return name.data();
  }

  void Send(const std::string& bytes) {
    BOOST_REQUIRE(
        SSL_write(ssl_, bytes.data(), static_cast<int>(bytes.size())) ==
        static_cast<int>(bytes.size()));
  }

  const std::string& Receive() {
    std::array<char, 4096> buffer;
    for (int count = 1; count > 0;) {
      count = SSL_read(ssl_, buffer.data(), buffer.size());
      received_.append(buffer.data(), count > 0 ? count : 0);
    }
    return received_;
  }

 private:
  SSL_CTX* context_ = SSL_CTX_new(TLS_client_method());
  SSL* ssl_ = SSL_new(context_);
  int fd_ = -1;
  std::string received_;
};

}  // namespace oleander::io

#endif  // OLEANDER_TEST_SUPPORT_TLS_FIXTURE_H_
