/// @file
/// @brief A parse function for each aggregate of the fleet document, and the
/// checks across aggregates.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "fleet/detail/document.h"
#include "fleet/detail/parse.h"

namespace limpetlink {

/// @brief Validation errors in the order in which they were found.
using FleetValidationErrors = std::vector<FleetValidationError>;

/// @brief Parses one failure domain.
/// @param value JSON of the aggregate
/// @param pointer JSON pointer of the aggregate
/// @param errors receives every validation error
/// @return the aggregate; invalid members keep their defaults
FailureDomain ParseFailureDomain(const nlohmann::json& value,
                                 const std::string& pointer,
                                 FleetValidationErrors* errors);
/// @copydoc ParseFailureDomain
Organisation ParseOrganisation(const nlohmann::json& value,
                               const std::string& pointer,
                               FleetValidationErrors* errors);
/// @copydoc ParseFailureDomain
Model ParseModel(const nlohmann::json& value, const std::string& pointer,
                 FleetValidationErrors* errors);
/// @copydoc ParseFailureDomain
ServiceRule ParseServiceRule(const nlohmann::json& value,
                             const std::string& pointer,
                             FleetValidationErrors* errors);
/// @copydoc ParseFailureDomain
Service ParseService(const nlohmann::json& value, const std::string& pointer,
                     FleetValidationErrors* errors);
/// @copydoc ParseFailureDomain
Upstream ParseUpstream(const nlohmann::json& value, const std::string& pointer,
                       FleetValidationErrors* errors);
/// @copydoc ParseFailureDomain
Route ParseRoute(const nlohmann::json& value, const std::string& pointer,
                 FleetValidationErrors* errors);
/// @copydoc ParseFailureDomain
Weights ParseWeights(const nlohmann::json& value, const std::string& pointer,
                     FleetValidationErrors* errors);
/// @copydoc ParseFailureDomain
FleetDocument ParseFleetDocument(const nlohmann::json& value,
                                 const std::string& pointer,
                                 FleetValidationErrors* errors);

/// @brief Reports identifiers, addresses and key digests that occur more than
/// once.
/// @note Complexity: n log n in the number of aggregates.
void CheckDuplicates(const FleetDocument& document,
                     FleetValidationErrors* errors);

/// @brief Reports unresolved references, models without a route and rules that
/// an earlier rule shadows.
/// @note Complexity: n log n in the number of aggregates; the rules of one
/// service are compared pairwise.
void CheckReferences(const FleetDocument& document,
                     FleetValidationErrors* errors);

}  // namespace limpetlink
