/// @file
/// @brief Reads and writes complete files.
#pragma once

#include <string>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace limpetlink::scenario {

/// @brief Reads a complete file.
/// @return the contents, or NotFound if the file cannot be read
absl::StatusOr<std::string> ReadFile(const std::string& path);

/// @brief Writes a file, replacing its contents.
/// @return Unavailable if the file cannot be written
absl::Status WriteFile(const std::string& path, const std::string& text);

}  // namespace limpetlink::scenario
