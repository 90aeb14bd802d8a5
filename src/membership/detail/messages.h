/// @file
/// @brief Gossip messages between entry hosts, and their CBOR.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "membership/detail/member.h"

namespace limpetlink {

/// @brief Purpose of a message.
enum class GossipKind {
  kProbe,         ///< requests an ack
  kAck,           ///< responds to a probe
  kProbeRequest,  ///< requests a probe of `target` and a relayed ack
  kGossip,        ///< carries records and broadcasts only
  kSyncRequest,   ///< digests of the sender's table, one for each bucket
  kSyncReply,     ///< records of the buckets that differ
};

template <>
struct EnumTable<GossipKind> {
  static constexpr EnumName<GossipKind> kRows[] = {
      {GossipKind::kProbe, "probe"},
      {GossipKind::kAck, "ack"},
      {GossipKind::kProbeRequest, "probe_request"},
      {GossipKind::kGossip, "gossip"},
      {GossipKind::kSyncRequest, "sync_request"},
      {GossipKind::kSyncReply, "sync_reply"}};
};

/// @brief A gossip message. Members that a kind does not use are empty.
struct GossipMessage {
  GossipKind kind = GossipKind::kGossip;
  std::uint64_t sequence = 0;      ///< of the probe
  HostId target;                   ///< of a probe request, or relayed ack
  std::uint64_t table_digest = 0;  ///< of the sender's records
  std::vector<Member> members;
  std::vector<Broadcast> broadcasts;
  std::vector<std::uint64_t> buckets;  ///< of a sync request
  std::string payload;  ///< of probes and acks, set by SetProbePayload
};

/// @brief Encodes a message as CBOR.
std::string EncodeGossip(const GossipMessage& message);

/// @brief Decodes a message within limits.
/// @return the message; peer.101 when malformed or beyond the limits
absl::StatusOr<GossipMessage> DecodeGossip(std::string_view bytes);

}  // namespace limpetlink
