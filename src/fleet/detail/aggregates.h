/// @file
/// @brief One parse function for each aggregate of the fleet document, and the
/// checks across aggregates.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "fleet/detail/document.h"
#include "fleet/detail/parse.h"

namespace limpetlink {

/// @brief Where errors are collected.
using FleetValidationErrors = std::vector<FleetValidationError>;

/// Each function below reads one aggregate.
/// @param value its JSON
/// @param pointer its JSON pointer
/// @param errors where every fault is added
/// @return the aggregate; members at fault keep their defaults
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

/// @brief Finds identifiers, addresses and key digests that stand twice.
/// @note Complexity: n log n in the number of aggregates.
void CheckDuplicates(const FleetDocument& document,
                     FleetValidationErrors* errors);

/// @brief Finds names that refer to nothing, models without a route and rules
/// that an earlier rule hides.
/// @note Complexity: n log n in the number of aggregates; rules of one service
/// are compared with one another.
void CheckReferences(const FleetDocument& document,
                     FleetValidationErrors* errors);

}  // namespace limpetlink
