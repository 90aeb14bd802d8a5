/// @file
/// @brief CrashEvidence as JSON, for messages between hosts and for the
/// metadata store.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>

#include "quarantine/detail/input_quarantine.h"

namespace limpetlink {

/// @brief Encodes evidence; ages are in whole milliseconds.
nlohmann::json ToJson(const CrashEvidence& evidence);

/// @brief Decodes evidence; every count, length and age is limited.
/// @return nothing if any of it is malformed or outside the limits
std::optional<CrashEvidence> CrashEvidenceFromJson(const nlohmann::json& json);

}  // namespace limpetlink
