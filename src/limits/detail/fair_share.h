/// @file
/// @brief FairShare: weighted fair queuing of organisations by virtual token
/// counters.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "base/base.h"

namespace limpetlink {

/// @brief Counts the tokens that each organisation used, divided by its weight.
class FairShare {
 public:
  /// @brief Sets an organisation's weight.
  /// @param weight above 0
  void SetWeight(const OrganisationId& organisation, double weight);

  /// @brief Activates an organisation whose queue was empty. Raises its counter
  /// to the lowest of the waiting organisations, so that idle time accumulates
  /// no credit.
  /// @param waiting organisations with queued requests
  void Activate(const OrganisationId& organisation,
                const std::vector<OrganisationId>& waiting);

  /// @brief Charges an organisation for service.
  /// @param tokens prompt and output tokens; may be negative to correct an
  /// earlier estimate
  void Charge(const OrganisationId& organisation, double tokens);

  /// @brief Sorts organisations by counter, the lowest first.
  /// @note Complexity: n log n in the organisations given.
  std::vector<OrganisationId> Order(
      const std::vector<OrganisationId>& waiting) const;

  /// @return the counter of an organisation
  double Counter(const OrganisationId& organisation) const;

 private:
  struct ServiceCounter {
    double counter = 0;
    double weight = 1.0;
  };

  std::map<OrganisationId, ServiceCounter> counters;
};

}  // namespace limpetlink
