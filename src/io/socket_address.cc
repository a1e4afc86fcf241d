#include "io/socket_address.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>

#include "oleander/result_code.h"

namespace oleander::io {
namespace {

absl::Status ListenError(const std::string& address, uint16_t port, int error) {
  return MakeError(ResultCode::kSettingsInvalid,
                   fmt::format("Cannot listen on address {} port {}: {}.",
                               address, port, std::strerror(error)));
}

uint16_t PortOf(const sockaddr_storage& address) {
  if (address.ss_family == AF_INET6) {
    return ntohs(reinterpret_cast<const sockaddr_in6&>(address).sin6_port);
  }
  return ntohs(reinterpret_cast<const sockaddr_in&>(address).sin_port);
}

bool BindAndListen(int fd, const SocketAddress& address) {
  const int on = 1;
  return setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) == 0 &&
         bind(fd, address.raw(), address.length) == 0 &&
         listen(fd, SOMAXCONN) == 0;
}

}  // namespace

std::optional<SocketAddress> ParseAddress(const std::string& address,
                                          uint16_t port) {
  SocketAddress parsed;
  auto* v4 = reinterpret_cast<sockaddr_in*>(&parsed.bytes);
  if (inet_pton(AF_INET, address.c_str(), &v4->sin_addr) == 1) {
    v4->sin_family = AF_INET;
    v4->sin_port = htons(port);
    parsed.length = sizeof(sockaddr_in);
    return parsed;
  }
  auto* v6 = reinterpret_cast<sockaddr_in6*>(&parsed.bytes);
  if (inet_pton(AF_INET6, address.c_str(), &v6->sin6_addr) == 1) {
    v6->sin6_family = AF_INET6;
    v6->sin6_port = htons(port);
    parsed.length = sizeof(sockaddr_in6);
    return parsed;
  }
  return std::nullopt;
}

std::string AddressText(const sockaddr_storage& address) {
  std::array<char, INET6_ADDRSTRLEN> text = {};
  const void* number = nullptr;
  if (address.ss_family == AF_INET) {
    number = &reinterpret_cast<const sockaddr_in&>(address).sin_addr;
  } else if (address.ss_family == AF_INET6) {
    number = &reinterpret_cast<const sockaddr_in6&>(address).sin6_addr;
  }
  if (number == nullptr || inet_ntop(address.ss_family, number, text.data(),
                                     text.size()) == nullptr) {
    return {};
  }
  return text.data();
}

absl::StatusOr<ListeningSocket> ListenTcp(const std::string& address,
                                          uint16_t port) {
  auto parsed = ParseAddress(address, port);
  if (!parsed.has_value()) {
    return MakeError(
        ResultCode::kSettingsInvalid,
        fmt::format("\"{}\" is not an IP address to listen on.", address));
  }
  const int fd = socket(parsed->bytes.ss_family,
                        SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) {
    return ListenError(address, port, errno);
  }
  if (!BindAndListen(fd, *parsed)) {
    const int error = errno;
    close(fd);
    return ListenError(address, port, error);
  }
  SocketAddress bound;
  bound.length = sizeof bound.bytes;
  getsockname(fd, bound.raw(), &bound.length);
  return ListeningSocket{.fd = fd, .port = PortOf(bound.bytes)};
}

}  // namespace oleander::io
