#include "tests/ports/free_ports.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace limpetlink::testing {
namespace {

constexpr std::uint32_t kFirstPort = 12000;
constexpr std::uint32_t kPortCount =
    20000;  // up to 31999; the ephemeral range begins at 32768
constexpr std::uint32_t kProcessOffset = 67;

bool IsFree(std::uint16_t port) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  const auto* generic =
      static_cast<const sockaddr*>(static_cast<const void*>(&address));
  const bool bound = bind(descriptor, generic, sizeof(address)) == 0;
  close(descriptor);
  return bound;
}

}  // namespace

std::vector<std::uint16_t> FreePorts(std::size_t count) {
  static std::uint32_t next =
      static_cast<std::uint32_t>(getpid()) * kProcessOffset;
  std::vector<std::uint16_t> ports;
  for (std::uint32_t attempts = 0;
       attempts < kPortCount && ports.size() < count; ++attempts) {
    const auto port =
        static_cast<std::uint16_t>(kFirstPort + next++ % kPortCount);
    if (IsFree(port)) {
      ports.push_back(port);
    }
  }
  return ports;
}

}  // namespace limpetlink::testing
