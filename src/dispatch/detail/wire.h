/// @file
/// @brief Messages between the dispatchers of entry hosts, and their CBOR form.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "admission/admission.h"
#include "base/base.h"
#include "dispatch/detail/messages.h"

namespace limpetlink {

/// @brief A name of the fleet document, hashed to four bytes. A collision of
/// two names only costs efficiency.
using ShortName = std::uint32_t;

/// @brief Hashes a name to its short form. Linear in its length.
ShortName MakeShortName(std::string_view name);

/// @brief A request's properties as sent to an owner.
struct PeerDemand {
  ShortName target = 0;
  ShortName route = 0;
  ShortName organisation = 0;
  RequestClass request_class = RequestClass::kDraft;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_output_tokens = 0;
};

/// @brief Requests a reservation from an owner; repeated until answered.
struct PeerReserve {
  Ticket ticket;
  PeerDemand demand;
  std::vector<ShortName> excluded;  ///< workers already tried
};

/// @brief The owner has reserved a slot at a worker for the request.
struct PeerGrant {
  Ticket ticket;
  ShortName worker = 0;
};

/// @brief The owner has queued the request.
struct PeerQueued {
  Ticket ticket;
  Duration expected_wait{0};
};

/// @brief The owner expects no free slot in time.
struct PeerDeny {
  Ticket ticket;
  Duration expected_wait{0};  ///< 0: the owner has no such worker
};

/// @brief The request ended or no longer needs its reservation.
struct PeerRelease {
  Ticket ticket;
  PlacementEnd end = PlacementEnd::kCancelled;
  std::uint32_t tokens = 0;
};

/// @brief Tokens produced so far by a placed stream.
struct PeerProgress {
  Ticket ticket;
  std::uint32_t tokens = 0;
};

/// @brief All placements of the sender at the receiver's workers, sorted by
/// ticket.
struct PeerSnapshot {
  std::vector<PeerProgress> streams;
};

/// @brief Streams of a snapshot that the owner does not know.
struct PeerMissing {
  std::vector<Ticket> tickets;
};

/// @brief Complete description of a stream, for an owner that does not know it.
struct PeerStream {
  PeerProgress progress;
  ShortName worker = 0;
  PeerDemand demand;
};

/// @brief Streams for an owner that rebuilds its load accounting.
struct PeerAnnounce {
  std::vector<PeerStream> streams;
};

/// @brief An organisation's demand or share.
struct PeerLimit {
  ShortName organisation = 0;
  double concurrent = 0;
  double per_second = 0;
};

/// @brief Requests shares from a limit's owner.
struct PeerLimitRequest {
  std::vector<PeerLimit> limits;
};

/// @brief Shares allocated by a limit's owner.
struct PeerLimitShares {
  std::vector<PeerLimit> limits;
};

/// @brief Any message between dispatchers.
using PeerMessage =
    std::variant<PeerReserve, PeerGrant, PeerQueued, PeerDeny, PeerRelease,
                 PeerSnapshot, PeerMissing, PeerAnnounce, PeerLimitRequest,
                 PeerLimitShares>;

/// @brief A message with the sender's incarnation.
struct PeerEnvelope {
  std::uint32_t epoch = 0;
  PeerMessage message;
};

/// @brief Encodes a message as a CBOR array: kind, epoch, then its numbers.
std::string EncodePeer(const PeerEnvelope& envelope);

/// @brief Decodes a message.
/// @return the message, or nothing when the bytes are malformed
std::optional<PeerEnvelope> DecodePeer(std::string_view bytes);

}  // namespace limpetlink
