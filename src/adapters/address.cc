#include <arpa/inet.h>

#include <charconv>

#include "adapters/adapters.h"

namespace limpetlink {
namespace {

absl::Status Malformed(const std::string& text) {
  return MakeStatus(ErrorCode::kRequestMalformed,
                    "not an address ip:port: " + text);
}

bool ParsePort(const std::string& text, std::uint16_t* port) {
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, *port);
  return error == std::errc() && stop == end && !text.empty();
}

}  // namespace

const sockaddr* SocketAddress::Get() const {
  return static_cast<const sockaddr*>(static_cast<const void*>(&this->storage));
}

absl::StatusOr<SocketAddress> ParseSocketAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  std::uint16_t port = 0;
  if (colon == std::string::npos || !ParsePort(text.substr(colon + 1), &port)) {
    return Malformed(text);
  }
  std::string host = text.substr(0, colon);
  if (host.size() >= 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  SocketAddress address;
  void* const storage = &address.storage;
  auto* const ipv4 = static_cast<sockaddr_in*>(storage);
  auto* const ipv6 = static_cast<sockaddr_in6*>(storage);
  if (inet_pton(AF_INET, host.c_str(), &ipv4->sin_addr) == 1) {
    ipv4->sin_family = AF_INET;
    ipv4->sin_port = htons(port);
    address.size = sizeof(sockaddr_in);
    return address;
  }
  if (inet_pton(AF_INET6, host.c_str(), &ipv6->sin6_addr) == 1) {
    ipv6->sin6_family = AF_INET6;
    ipv6->sin6_port = htons(port);
    address.size = sizeof(sockaddr_in6);
    return address;
  }
  return Malformed(text);
}

}  // namespace limpetlink
