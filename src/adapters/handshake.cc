#include "adapters/detail/handshake.h"

#include <nlohmann/json.hpp>

namespace limpetlink {
namespace {

using Json = nlohmann::json;

constexpr int kVersion = 1;
constexpr std::size_t kMaxFieldBytes = 200;

std::string Encode(const Json& message) {
  const std::vector<std::uint8_t> bytes = Json::to_cbor(message);
  return {bytes.begin(), bytes.end()};
}

Json Decode(std::string_view bytes) {
  Json message = Json::from_cbor(bytes.begin(), bytes.end(), true, false);
  return message.is_object() ? message : Json::object();
}

std::optional<std::string> TextOf(const Json& message, const char* name) {
  const auto found = message.find(name);
  if (found == message.end() || !found->is_string()) {
    return std::nullopt;
  }
  std::string text = found->get<std::string>();
  if (text.empty() || text.size() > kMaxFieldBytes) {
    return std::nullopt;
  }
  return text;
}

bool HasSupportedVersion(const Json& message) {
  const auto found = message.find("version");
  return found != message.end() && found->is_number_integer() &&
         *found == kVersion;
}

}  // namespace

Handshake::Handshake(std::string secret, HostId self, std::string nonce)
    : secret(std::move(secret)),
      self(std::move(self)),
      nonce(std::move(nonce)) {}

std::string Handshake::Mac(std::string_view role,
                           const std::string& connecting_nonce,
                           const std::string& accepting_nonce,
                           const HostId& connecting,
                           const HostId& accepting) const {
  const Json parts = {kVersion,         role,
                      connecting_nonce, accepting_nonce,
                      connecting.value, accepting.value};
  return HmacSha256Hex(this->secret, Encode(parts));
}

std::string Handshake::Hello(const HostId& to) {
  this->peer = to;
  return Encode({{"version", kVersion},
                 {"from", this->self.value},
                 {"to", to.value},
                 {"nonce", this->nonce}});
}

std::optional<std::string> Handshake::Challenge(std::string_view hello) {
  const Json message = Decode(hello);
  const std::optional<std::string> from = TextOf(message, "from");
  const std::optional<std::string> to = TextOf(message, "to");
  const std::optional<std::string> received_nonce = TextOf(message, "nonce");
  if (!HasSupportedVersion(message) || !from.has_value() ||
      !received_nonce.has_value() || to != this->self.value ||
      *from == this->self.value) {
    return std::nullopt;
  }
  this->peer = HostId{*from};
  this->peer_nonce = *received_nonce;
  return Encode({{"version", kVersion},
                 {"from", this->self.value},
                 {"nonce", this->nonce},
                 {"mac", this->Mac("accept", this->peer_nonce, this->nonce,
                                   this->peer, this->self)}});
}

std::optional<std::string> Handshake::Prove(std::string_view challenge) {
  const Json message = Decode(challenge);
  const std::optional<std::string> from = TextOf(message, "from");
  const std::optional<std::string> received_nonce = TextOf(message, "nonce");
  const std::optional<std::string> mac = TextOf(message, "mac");
  if (!HasSupportedVersion(message) || from != this->peer.value ||
      !received_nonce.has_value() || !mac.has_value()) {
    return std::nullopt;
  }
  this->peer_nonce = *received_nonce;
  const std::string expected = this->Mac(
      "accept", this->nonce, this->peer_nonce, this->self, this->peer);
  if (!EqualInConstantTime(expected, *mac)) {
    return std::nullopt;
  }
  return Encode({{"mac", this->Mac("connect", this->nonce, this->peer_nonce,
                                   this->self, this->peer)}});
}

bool Handshake::Accept(std::string_view proof) const {
  const std::optional<std::string> mac = TextOf(Decode(proof), "mac");
  const std::string expected = this->Mac("connect", this->peer_nonce,
                                         this->nonce, this->peer, this->self);
  return mac.has_value() && EqualInConstantTime(expected, *mac);
}

}  // namespace limpetlink
