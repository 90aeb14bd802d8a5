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
struct WantsFor {
  HostId owner;
  std::vector<OrganisationShare> wants;
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
  LimitDecision Begin(Instant now, const OrganisationId& organisation,
                      bool again);

  /// @brief Counts a request out.
  void End(const OrganisationId& organisation, Duration held);

  /// @brief Says when a refused caller may come back.
  Duration RetryAfter(Instant now, const OrganisationId& organisation,
                      LimitDecision answer) const;

  /// @brief Collects what is to be asked of the limits' owners now: only for
  /// organisations that press against their fallback part. This host's own
  /// are settled at once.
  std::vector<WantsFor> TakeWants(Instant now);

  /// @brief Answers a host's wants as the owner.
  std::vector<OrganisationShare> Hand(
      Instant now, const HostId& from,
      const std::vector<OrganisationShare>& wants);

  /// @brief Takes shares from an owner in.
  void Granted(Instant now, const std::vector<OrganisationShare>& shares);

 private:
  struct Limits {
    LimitShare total;
    HostId owner;
    HostLimit here;
    ShareAllocator handed;
  };

  void Refresh(const OrganisationId& organisation, Limits& limits);

  HostId self;
  std::vector<HostId> live;
  std::map<OrganisationId, Limits> organisations;
};

}  // namespace limpetlink
