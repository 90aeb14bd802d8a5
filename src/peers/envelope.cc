#include <utility>

#include "peers/peers.h"

namespace limpetlink {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMembers = 4;

absl::Status Malformed(std::string_view detail) {
  return MakeStatus(ErrorCode::kPeerRefused, detail);
}

/// @brief Returns whether the members have the expected types; does not check
/// their values.
bool HasExpectedTypes(const Json& value) {
  return value.is_array() && value.size() == kMembers &&
         value[0].is_number_unsigned() && value[1].is_string() &&
         value[2].is_number_unsigned() && value[3].is_binary();
}

}  // namespace

std::string EncodePeerEnvelope(const PeerEnvelope& envelope) {
  const auto kind = static_cast<std::uint32_t>(envelope.kind);
  return EncodeCbor(Json::array({envelope.version, envelope.from.value, kind,
                                 CborBinary(envelope.payload)}));
}

absl::StatusOr<PeerEnvelope> DecodePeerEnvelope(std::string_view bytes) {
  const CborLimits limits{kMaxPeerFrameBytes, 1, kMembers + 1};
  const auto value = DecodeCbor(bytes, limits);
  if (!value.ok()) {
    return value.status();
  }
  if (!HasExpectedTypes(*value)) {
    return Malformed("envelope is malformed");
  }
  if ((*value)[0].get<std::uint64_t>() != kPeerEnvelopeVersion) {
    return Malformed("envelope has an unsupported version");
  }
  const std::uint64_t kind = (*value)[2].get<std::uint64_t>();
  if (kind > static_cast<std::uint64_t>(PeerKind::kRequest)) {
    return Malformed("envelope has an unknown kind");
  }
  PeerEnvelope envelope;
  envelope.from = HostId{(*value)[1].get<std::string>()};
  const std::size_t id_bytes = envelope.from.value.size();
  if (id_bytes == 0 || id_bytes > kMaxHostIdBytes) {
    return Malformed("envelope has no valid sender");
  }
  envelope.kind = static_cast<PeerKind>(kind);
  ReadCborBinary((*value)[3], &envelope.payload);
  return envelope;
}

absl::StatusOr<PeerEnvelope> PeerFrameReader::Read(const PeerFrame& frame) {
  if (frame.bytes.size() > kMaxPeerFrameBytes) {
    ++this->counters.oversized;
    return Malformed("frame is too large");
  }
  auto envelope = DecodePeerEnvelope(frame.bytes);
  if (!envelope.ok()) {
    ++this->counters.malformed;
    return envelope;
  }
  if (envelope->from != frame.from) {
    ++this->counters.wrong_sender;
    return Malformed("envelope names another sender than the peer");
  }
  ++this->counters.accepted;
  return envelope;
}

}  // namespace limpetlink
