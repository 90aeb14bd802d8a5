/// @file
/// @brief UDP datagrams between entry hosts.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <functional>
#include <string>

#include "absl/status/status.h"
#include "event_loop/detail/framing.h"

namespace limpetlink::event_loop {

/// @brief Sends and receives datagrams on one UDP socket.
///
/// A datagram that cannot be sent at once is dropped and counted, as if the
/// network had lost it.
class Datagrams {
 public:
  Datagrams(asio::io_context* context, std::function<void(Event)> emit);

  absl::Status Bind(const std::string& address);
  void Send(const PeerSend& send);

  std::uint64_t Dropped() const { return this->dropped; }

 private:
  using Udp = asio::ip::udp;
  static constexpr std::size_t kMaxBytes = 16U << 10U;

  void Receive();

  std::function<void(Event)> emit;
  Udp::socket socket;
  Udp::endpoint sender;
  std::array<char, kMaxBytes> buffer{};
  std::uint64_t dropped = 0;
};

}  // namespace limpetlink::event_loop
