/// @file
/// @brief The requests that a dispatcher knows.
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

/// @brief The ask that a waiting request has out with another owner.
struct PendingReservation {
  HostId owner;
  Instant sent;         ///< last time
  bool queued = false;  ///< the owner said that it waits there
  std::uint32_t unanswered = 0;
};

/// @brief A request of this host, or one that another host asked a place for.
struct Entry {
  Ticket ticket;
  SubmitRequest submit;
  StreamKey key;  ///< holder, and the holder's ticket
  LengthKey length_key;
  Demand demand;
  Instant arrived;
  Instant refreshed;  ///< last ask, of another host's request

  // While it waits.
  std::optional<PendingReservation> reservation;
  std::vector<HostId> denied_by;
  std::uint32_t unresponsive_owners = 0;
  Duration shortest_denied_wait{0};  ///< least expected wait that a denial told
  Instant last_reported;
  std::uint32_t reported_position = 0;

  // Once it is placed.
  bool placed = false;
  UpstreamId worker;
  HostId owner;  ///< who keeps the account it stands in
  Instant placed_at;
  std::uint32_t tokens = 0;
  std::int32_t priority = 0;
  bool unreserved = false;  ///< placed without a grant
  double charged = 0;
};

/// @brief A placement of another host in the account of a worker of this host.
struct RemotePlacement {
  UpstreamId worker;
  std::string target;
  LengthKey length_key;
  Instant confirmed;  ///< granted, or last named by its holder
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
