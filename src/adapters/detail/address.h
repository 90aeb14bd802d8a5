/// @file
/// @brief Addresses written "ip:port", and the sink that adapters hand events
/// to.
#pragma once

#include <netinet/in.h>
#include <sys/socket.h>

#include <cstdint>
#include <functional>
#include <string>

#include "absl/status/statusor.h"
#include "ports/ports.h"

namespace limpetlink {

/// @brief Takes an event of an adapter; called from the adapter's threads, may
/// block while the
///        taker is behind. Adapters hold no lock while they call it.
using EventSink = std::function<void(Event event)>;

/// @brief A socket address ready for the system calls.
struct SocketAddress {
  sockaddr_storage storage{};
  socklen_t size = 0;

  /// @return the address as the system calls take it
  const sockaddr* Get() const;
};

/// @brief Parses "ip:port".
/// @param text as "127.0.0.1:8080" or "[::1]:8080"
/// @return the address, or request.101 when the text is none
absl::StatusOr<SocketAddress> ParseSocketAddress(const std::string& text);

}  // namespace limpetlink
