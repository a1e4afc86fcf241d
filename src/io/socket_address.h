// IP numbers, and listening on them.
#ifndef OLEANDER_IO_SOCKET_ADDRESS_H_
#define OLEANDER_IO_SOCKET_ADDRESS_H_

#include <sys/socket.h>

#include <cstdint>
#include <optional>
#include <string>

#include "absl/status/statusor.h"

namespace oleander::io {

struct SocketAddress {
  sockaddr_storage bytes = {};
  socklen_t length = 0;

  const sockaddr* raw() const {
    return reinterpret_cast<const sockaddr*>(&bytes);
  }
  sockaddr* raw() { return reinterpret_cast<sockaddr*>(&bytes); }
};

// Reads an IPv4 or IPv6 number; nothing where `address` is neither.
std::optional<SocketAddress> ParseAddress(const std::string& address,
                                          uint16_t port);

// The IP number without the port; empty for other families.
std::string AddressText(const sockaddr_storage& address);

struct ListeningSocket {
  int fd = -1;  // Owned by whoever gets it.
  uint16_t port = 0;
};

// Listens without blocking. Port 0 takes a free port. The error is
// kSettingsInvalid and names the address and the system's reason.
absl::StatusOr<ListeningSocket> ListenTcp(const std::string& address,
                                          uint16_t port);

}  // namespace oleander::io

#endif  // OLEANDER_IO_SOCKET_ADDRESS_H_
