/// @file
/// @brief Reading the fleet document and its history; ids of changes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "fleet/fleet.h"
#include "operators/detail/platform_access.h"

namespace limpetlink {

/// @brief The fleet document as stored at the platform.
struct StoredFleet {
  std::uint64_t version = 0;  ///< 0: no document exists
  std::string text;
  FleetDocument document;
};

/// @brief Reads the fleet document from the platform.
/// @param platform client of the platform
/// @param name the fleet's name
/// @return the document, with version 0 if none exists; platform.101 if the
/// platform does not respond; fleet.102 if the stored document is invalid
absl::StatusOr<StoredFleet> ReadStoredFleet(PlatformAccess* platform,
                                            const std::string& name);

/// @brief Derives a change's id from its contents, so that a change that is
/// applied again after a lost response is recognised as the same change.
/// @param base_version the version that the change is based on
/// @param author author of the change
/// @param document the new document; its change id and author are ignored
/// @return 32 hexadecimal digits
std::string MakeChangeId(std::uint64_t base_version, std::string_view author,
                         FleetDocument document);

/// @brief The change and author behind one version of the document.
struct FleetRevision {
  std::uint64_t version = 0;
  std::string change_id;
  std::string author;
};

/// @brief Reads the most recent revisions, newest first.
/// @param platform client of the platform
/// @param current the current document
/// @param limit maximum number of revisions, at least 1
/// @return the revisions that have a readable record; platform.101 if the
/// platform does not respond
absl::StatusOr<std::vector<FleetRevision>> ReadHistory(
    PlatformAccess* platform, const StoredFleet& current, std::uint32_t limit);

}  // namespace limpetlink
