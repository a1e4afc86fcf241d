// Parses IP addresses and opens listening sockets.
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

// Parses an IPv4 or IPv6 address. Returns nullopt if `address` is neither.
std::optional<SocketAddress> ParseAddress(const std::string& address,
                                          uint16_t port);

// Returns the IP address without the port, or an empty string for other address
// families.
std::string AddressText(const sockaddr_storage& address);

struct ListeningSocket {
  int fd = -1;  // Owned by the caller of ListenTcp().
  uint16_t port = 0;
};

// Opens a non-blocking listening socket. Port 0 selects a free port. Errors
// have the code kSettingsInvalid and name the address and, if the system
// refused it, the reason.
absl::StatusOr<ListeningSocket> ListenTcp(const std::string& address,
                                          uint16_t port);

}  // namespace oleander::io

#endif  // OLEANDER_IO_SOCKET_ADDRESS_H_
