/// @file
/// @brief The three messages by which two hosts prove to each other that they
/// share the secret.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "base/base.h"

namespace limpetlink {

/// @brief One side of a handshake; pure, so that it is tested without a socket.
///
/// The connecting side sends Hello, the accepting side answers with a challenge
/// that proves its knowledge of the secret, the connecting side ends with its
/// own proof.
class Handshake {
 public:
  /// @param secret shared by all hosts
  /// @param self this side's host
  /// @param nonce fresh random text of this side
  Handshake(std::string secret, HostId self, std::string nonce);

  /// @brief First message of the connecting side.
  /// @param to whom it wants to reach
  std::string Hello(const HostId& to);

  /// @brief Accepting side: takes a Hello.
  /// @return the challenge to send, or nothing when the message is refused
  std::optional<std::string> Challenge(std::string_view hello);

  /// @brief Connecting side: takes the challenge.
  /// @return the proof to send, or nothing when the message is refused
  std::optional<std::string> Prove(std::string_view challenge);

  /// @brief Accepting side: takes the proof.
  /// @return whether the peer has the secret
  bool Accept(std::string_view proof) const;

  /// @return the other side's host, meaningful once it has proved itself
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
