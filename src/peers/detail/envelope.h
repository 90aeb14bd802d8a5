/// @file
/// @brief PeerEnvelope: the sender of a message and the component that
/// handles it.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "base/base.h"
#include "ports/ports.h"

namespace limpetlink {

/// @brief Version of the envelope; a host rejects any other.
inline constexpr std::uint32_t kPeerEnvelopeVersion = 1;

/// @brief Largest frame between hosts, in bytes: a full document of 1 MB with
/// its envelope.
inline constexpr std::size_t kMaxPeerFrameBytes = 1088UL * 1024UL;

/// @brief Longest host id in an envelope, in bytes.
inline constexpr std::size_t kMaxHostIdBytes = 128;

/// @brief The component that handles the payload.
enum class PeerKind { kMembership, kConfiguration, kDispatch, kRequest };

template <>
struct EnumTable<PeerKind> {
  static constexpr EnumName<PeerKind> kRows[] = {
      {PeerKind::kMembership, "membership"},
      {PeerKind::kConfiguration, "configuration"},
      {PeerKind::kDispatch, "dispatch"},
      {PeerKind::kRequest, "request"}};
};

/// @brief One message between entry hosts.
struct PeerEnvelope {
  std::uint32_t version = kPeerEnvelopeVersion;
  HostId from;
  PeerKind kind = PeerKind::kMembership;
  std::string payload;  ///< CBOR of the component
};

/// @brief Encodes an envelope as a CBOR array [version, from, kind, payload].
std::string EncodePeerEnvelope(const PeerEnvelope& envelope);

/// @brief Decodes an envelope.
/// @param bytes a frame
/// @return the envelope; peer.101 when malformed, too large or of another
/// version
absl::StatusOr<PeerEnvelope> DecodePeerEnvelope(std::string_view bytes);

/// @brief Numbers of accepted and rejected frames.
struct PeerCounters {
  std::uint64_t accepted = 0;
  std::uint64_t malformed = 0;  ///< also of another envelope version
  std::uint64_t oversized = 0;
  std::uint64_t wrong_sender = 0;  ///< the envelope names another host than
                                   ///< the authenticated one
};

/// @brief Decodes frames of authenticated peers and counts rejected ones.
/// @note Example:
/// @code
/// const auto envelope = reader.Read(frame);
/// if (envelope.ok()) { route(*envelope); }
/// @endcode
class PeerFrameReader {
 public:
  /// @return the envelope, or peer.101
  absl::StatusOr<PeerEnvelope> Read(const PeerFrame& frame);

  /// @return frames since the start of the process
  const PeerCounters& Counters() const { return this->counters; }

 private:
  PeerCounters counters;
};

}  // namespace limpetlink
