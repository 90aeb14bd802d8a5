/// @file
/// @brief The handshake in which two hosts authenticate each other by a shared
/// secret.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "base/base.h"

namespace limpetlink {

/// @brief One side of a handshake. It performs no I/O, so that it can be tested
/// without a socket.
///
/// The connecting side sends Hello. The accepting side responds with a
/// challenge that proves its knowledge of the secret. The connecting side
/// finishes with its own proof.
class Handshake {
 public:
  /// @param secret the secret shared by all hosts
  /// @param self the host of this side
  /// @param nonce a new random text of this side
  Handshake(std::string secret, HostId self, std::string nonce);

  /// @brief Connecting side: returns the first message.
  /// @param to the host expected at the other side
  std::string Hello(const HostId& to);

  /// @brief Accepting side: handles a Hello.
  /// @return the challenge to send, or std::nullopt when the message is
  /// rejected
  std::optional<std::string> Challenge(std::string_view hello);

  /// @brief Connecting side: handles the challenge.
  /// @return the proof to send, or std::nullopt when the message is rejected
  std::optional<std::string> Prove(std::string_view challenge);

  /// @brief Accepting side: verifies the proof.
  /// @return whether the peer knows the secret
  bool Accept(std::string_view proof) const;

  /// @return the host of the other side; valid once it has been authenticated
  const HostId& Peer() const { return this->peer; }

 private:
  std::string Mac(std::string_view role, const std::string& connecting_nonce,
                  const std::string& accepting_nonce, const HostId& connecting,
                  const HostId& accepting) const;

  std::string secret;
  HostId self;
  std::string nonce;
  HostId peer;
  std::string peer_nonce;
};

}  // namespace limpetlink
