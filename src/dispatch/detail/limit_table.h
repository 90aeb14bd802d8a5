/// @file
/// @brief The organisations' limits at one host, and the shares that it
/// allocates as their owner.
#pragma once

#include <map>
#include <vector>

#include "base/base.h"
#include "fleet/fleet.h"
#include "limits/limits.h"

namespace limpetlink {

/// @brief One organisation's demand or share, as exchanged between hosts.
struct OrganisationShare {
  OrganisationId organisation;
  LimitShare share;
};

/// @brief Demands to be sent to one owner.
struct LimitRequest {
  HostId owner;
  std::vector<OrganisationShare> demands;
};

/// @brief Request limits by organisation.
class LimitTable {
 public:
  /// @param self this host
  explicit LimitTable(HostId self);

  /// @brief Applies a document's organisations.
  void Configure(const FleetDocument& document);

  /// @brief Applies a new list of live hosts.
  void SetHosts(const std::vector<HostId>& new_live);

  /// @brief Counts the start of a request against its organisation's limits.
  /// @param is_retry whether the request is a retry
  LimitDecision Begin(Instant now, const OrganisationId& organisation,
                      bool is_retry);

  /// @brief Counts the end of a request.
  /// @param held how long the request was in progress
  void End(const OrganisationId& organisation, Duration held);

  /// @return how long a refused caller should wait before its next attempt
  Duration RetryAfter(Instant now, const OrganisationId& organisation,
                      LimitDecision decision) const;

  /// @brief Collects the limit requests due to the limits' owners: only for
  /// organisations whose load comes close to their fallback share. Limits that
  /// this host owns are allocated at once.
  std::vector<LimitRequest> CollectLimitRequests(Instant now);

  /// @brief Allocates shares to a host, as the limits' owner.
  std::vector<OrganisationShare> Allocate(
      Instant now, const HostId& from,
      const std::vector<OrganisationShare>& demands);

  /// @brief Applies shares received from an owner.
  void ApplyShares(Instant now, const std::vector<OrganisationShare>& shares);

 private:
  struct Limits {
    LimitShare total;
    HostId owner;
    HostLimit local;
    ShareAllocator allocator;
  };

  void Refresh(const OrganisationId& organisation, Limits& limits);

  HostId self;
  std::vector<HostId> live;
  std::map<OrganisationId, Limits> organisations;
};

}  // namespace limpetlink
