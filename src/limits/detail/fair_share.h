/// @file
/// @brief Virtual token counters: which organisation is served next.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "base/base.h"

namespace limpetlink {

/// @brief Counts the service each organisation has got, divided by its weight.
class FairShare {
 public:
  /// @brief Sets an organisation's weight.
  /// @param weight above 0
  void SetWeight(const OrganisationId& organisation, double weight);

  /// @brief An organisation begins to wait after it had nothing waiting: it is
  /// lifted to the least counter of the waiting ones, so that idle time saves
  /// up no claim.
  void Activate(const OrganisationId& organisation,
                const std::vector<OrganisationId>& waiting);

  /// @brief Charges service.
  /// @param tokens prompt and output tokens; may be negative to correct an
  /// earlier estimate
  void Charge(const OrganisationId& organisation, double tokens);

  /// @brief Orders organisations, the least served first.
  /// @note Complexity: n log n in the organisations given.
  std::vector<OrganisationId> Order(
      const std::vector<OrganisationId>& waiting) const;

  /// @return the counter of an organisation
  double Counter(const OrganisationId& organisation) const;

 private:
  struct Account {
    double counter = 0;
    double weight = 1.0;
  };

  std::map<OrganisationId, Account> accounts;
};

}  // namespace limpetlink
