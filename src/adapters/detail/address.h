/// @file
/// @brief Parsing of "ip:port" addresses, and the sink for adapters' events.
#pragma once

#include <netinet/in.h>
#include <sys/socket.h>

#include <cstdint>
#include <functional>
#include <string>

#include "absl/status/statusor.h"
#include "ports/ports.h"

namespace limpetlink {

/// @brief Receives the events of an adapter.
///
/// Adapters call it from their own threads without holding a lock; it may block
/// while the receiver's queue is full.
using EventSink = std::function<void(Event event)>;

/// @brief A socket address in the form that system calls expect.
struct SocketAddress {
  sockaddr_storage storage{};
  socklen_t size = 0;

  /// @return the address as a pointer for system calls
  const sockaddr* Get() const;
};

/// @brief Parses "ip:port".
/// @param text an address such as "127.0.0.1:8080" or "[::1]:8080"
/// @return the address, or request.101 when the text is not an address
absl::StatusOr<SocketAddress> ParseSocketAddress(const std::string& text);

}  // namespace limpetlink
