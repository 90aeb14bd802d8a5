/// @file
/// @brief Whole files in and out.
#pragma once

#include <string>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace limpetlink::scenario {

/// @brief Reads a file.
absl::StatusOr<std::string> ReadFile(const std::string& path);

/// @brief Writes a file.
absl::Status WriteFile(const std::string& path, const std::string& text);

}  // namespace limpetlink::scenario
