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

/// @brief A name of the fleet document in four bytes. Two names that collide
/// cost efficiency only.
using ShortName = std::uint32_t;

/// @brief Shortens a name. Linear in its length.
ShortName MakeShortName(std::string_view name);

/// @brief What a host tells an owner of a request.
struct PeerDemand {
  ShortName target = 0;
  ShortName route = 0;
  ShortName organisation = 0;
  RequestClass request_class = RequestClass::kDraft;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_output_tokens = 0;
};

/// @brief Reserve: asks an owner for a place; sent again until it is answered.
struct PeerReserve {
  Ticket ticket;
  PeerDemand demand;
  std::vector<ShortName> excluded;  ///< workers already tried
};

/// @brief The owner has entered the request into a worker's account.
struct PeerGrant {
  Ticket ticket;
  ShortName worker = 0;
};

/// @brief The request waits at the owner.
struct PeerQueued {
  Ticket ticket;
  Duration expected_wait{0};
};

/// @brief The owner has no place in time.
struct PeerDeny {
  Ticket ticket;
  Duration expected_wait{0};  ///< 0: the owner has no such worker
};

/// @brief The request ended, or is not wanted any more.
struct PeerRelease {
  Ticket ticket;
  PlacementEnd end = PlacementEnd::kCancelled;
  std::uint32_t tokens = 0;
};

/// @brief A placed stream and what it has produced.
struct PeerProgress {
  Ticket ticket;
  std::uint32_t tokens = 0;
};

/// @brief All that the sender holds at the receiver's workers, in order of the
/// tickets.
struct PeerSnapshot {
  std::vector<PeerProgress> streams;
};

/// @brief The owner does not know these streams.
struct PeerMissing {
  std::vector<Ticket> tickets;
};

/// @brief A stream in full, for an owner that does not know it.
struct PeerStream {
  PeerProgress progress;
  ShortName worker = 0;
  PeerDemand demand;
};

/// @brief Streams for an owner that rebuilds its account.
struct PeerAnnounce {
  std::vector<PeerStream> streams;
};

/// @brief An organisation's wants or share.
struct PeerLimit {
  ShortName organisation = 0;
  double concurrent = 0;
  double per_second = 0;
};

/// @brief Asks a limit's owner for shares.
struct PeerLimitRequest {
  std::vector<PeerLimit> limits;
};

/// @brief Hands shares out.
struct PeerShares {
  std::vector<PeerLimit> limits;
};

/// @brief What dispatchers tell each other.
using PeerMessage = std::variant<PeerReserve, PeerGrant, PeerQueued, PeerDeny,
                                 PeerRelease, PeerSnapshot, PeerMissing,
                                 PeerAnnounce, PeerLimitRequest, PeerShares>;

/// @brief A message and which life of the sender it comes from.
struct PeerEnvelope {
  std::uint32_t epoch = 0;
  PeerMessage message;
};

/// @brief Writes a message as a CBOR array: kind, epoch, then its numbers.
std::string EncodePeer(const PeerEnvelope& envelope);

/// @brief Reads a message.
/// @return the message, or nothing when the bytes are not one
std::optional<PeerEnvelope> DecodePeer(std::string_view bytes);

}  // namespace limpetlink
