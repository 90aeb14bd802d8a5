/// @file
/// @brief Messages between the memberships of two hosts, and their CBOR.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "membership/detail/member.h"

namespace limpetlink {

/// @brief What a message is for.
enum class GossipKind {
  kProbe,         ///< asks for an ack
  kAck,           ///< answers a probe
  kProbeRequest,  ///< asks the receiver to probe `target` and to relay the ack
  kGossip,        ///< carries records and broadcasts only
  kSyncRequest,   ///< digests of the sender's table by buckets
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

/// @brief One message. Members that a kind does not need stay empty.
struct GossipMessage {
  GossipKind kind = GossipKind::kGossip;
  std::uint64_t sequence = 0;      ///< of the probe
  HostId target;                   ///< of a probe request, or relayed ack
  std::uint64_t table_digest = 0;  ///< of the sender's records
  std::vector<Member> members;
  std::vector<Broadcast> broadcasts;
  std::vector<std::uint64_t> buckets;  ///< of a sync request
  std::string payload;                 ///< the user's bytes on probes and acks
};

/// @brief Writes a message as CBOR.
std::string EncodeGossip(const GossipMessage& message);

/// @brief Reads a message within bounds.
/// @return the message, or peer.101
absl::StatusOr<GossipMessage> DecodeGossip(std::string_view bytes);

}  // namespace limpetlink
