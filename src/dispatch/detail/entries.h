/// @file
/// @brief The requests that a dispatcher tracks.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "admission/admission.h"
#include "base/base.h"
#include "dispatch/detail/messages.h"

namespace limpetlink {

/// @brief A waiting request's outstanding reservation request to another owner.
struct PendingReservation {
  HostId owner;
  Instant sent;         ///< last transmission
  bool queued = false;  ///< the owner has queued the request
  std::uint32_t unanswered = 0;
};

/// @brief A request of this host, or another host's reservation request.
struct Entry {
  Ticket ticket;
  SubmitRequest submit;
  StreamKey key;  ///< holder, and the holder's ticket
  LengthKey length_key;
  Demand demand;
  Instant arrived;
  Instant refreshed;  ///< last reservation request; for another host's request

  // Set while the request waits.
  std::optional<PendingReservation> reservation;
  std::vector<HostId> denied_by;
  std::uint32_t unresponsive_owners = 0;
  /// Shortest expected wait among the denials.
  Duration shortest_denied_wait{0};
  Instant last_reported;
  std::uint32_t reported_position = 0;

  // Set once the request is placed.
  bool placed = false;
  UpstreamId worker;
  HostId owner;  ///< owner of the worker, which tracks the placement
  Instant placed_at;
  std::uint32_t tokens = 0;
  std::int32_t priority = 0;
  bool unreserved = false;  ///< placed without a grant
  double charged = 0;
};

/// @brief Another host's placement at a worker owned by this host.
struct RemotePlacement {
  UpstreamId worker;
  std::string target;
  LengthKey length_key;
  /// Time of the grant, or of the last snapshot that listed it.
  Instant confirmed;
  double charged = 0;
};

/// @brief The queues of one target.
struct TargetQueues {
  WaitQueue verdicts;
  WaitQueue drafts;

  WaitQueue& Of(RequestClass request_class) {
    return request_class == RequestClass::kVerdict ? this->verdicts
                                                   : this->drafts;
  }
  std::size_t Size() const {
    return this->verdicts.Size() + this->drafts.Size();
  }
};

}  // namespace limpetlink
