/// @file
/// @brief The organisations' limits at one host, and those it hands out.
#pragma once

#include <map>
#include <vector>

#include "base/base.h"
#include "fleet/fleet.h"
#include "limits/limits.h"

namespace limpetlink {

/// @brief One organisation's wants or share, as hosts tell each other.
struct OrganisationShare {
  OrganisationId organisation;
  LimitShare share;
};

/// @brief Wants to be sent to one owner.
struct LimitRequest {
  HostId owner;
  std::vector<OrganisationShare> demands;
};

/// @brief Limits by organisation.
class LimitTable {
 public:
  /// @param self this host
  explicit LimitTable(HostId self);

  /// @brief Takes a document's organisations in.
  void Configure(const FleetDocument& document);

  /// @brief Takes the live hosts in.
  void SetHosts(const std::vector<HostId>& live);

  /// @brief Counts a request in.
  /// @param again whether it is a repeat
  LimitAnswer Begin(Instant now, const OrganisationId& organisation,
                    bool is_retry);

  /// @brief Counts a request out.
  void End(const OrganisationId& organisation, Duration held);

  /// @brief Says when a refused caller may come back.
  Duration RetryAfter(Instant now, const OrganisationId& organisation,
                      LimitAnswer decision) const;

  /// @brief Collects what is to be asked of the limits' owners now: only for
  /// organisations that press against their fallback part. This host's own
  /// are settled at once.
  std::vector<LimitRequest> CollectLimitRequests(Instant now);

  /// @brief Answers a host's wants as the owner.
  std::vector<OrganisationShare> Allocate(
      Instant now, const HostId& from,
      const std::vector<OrganisationShare>& demands);

  /// @brief Takes shares from an owner in.
  void ApplyShares(Instant now, const std::vector<OrganisationShare>& shares);

 private:
  struct Limits {
    LimitShare total;
    HostId owner;
    HostLimit local;
    ShareOwner allocator;
  };

  void Refresh(const OrganisationId& organisation, Limits& limits);

  HostId self;
  std::vector<HostId> live;
  std::map<OrganisationId, Limits> organisations;
};

}  // namespace limpetlink
