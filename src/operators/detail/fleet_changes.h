/// @file
/// @brief Changes of the fleet document as operators make and list them.
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

/// @brief The fleet document as it stands at the platform.
struct StoredFleet {
  std::uint64_t version = 0;  ///< 0: there is none
  std::string text;
  FleetDocument document;
};

/// @brief Reads the fleet document from the platform.
/// @param name the fleet's name
/// @return the document with version 0 when there is none; platform.101 when
/// the platform does not answer; fleet.102 when what stands there is invalid
absl::StatusOr<StoredFleet> ReadStoredFleet(PlatformAccess* platform,
                                            const std::string& name);

/// @brief Names a change by what it is, so that the same change applied again
/// after a lost answer is recognised as the same.
/// @param base_version the version that the change begins from
/// @param author who makes it
/// @param document what is to be in force
/// @return 32 hexadecimal digits; the document's own change id and author do
/// not count
std::string MakeChangeId(std::uint64_t base_version, std::string_view author,
                         FleetDocument document);

/// @brief Whose change a version was.
struct FleetRevision {
  std::uint64_t version = 0;
  std::string change_id;
  std::string author;
};

/// @brief Reads the newest revisions, newest first.
/// @param current the document as it stands now
/// @param limit most revisions wanted, at least 1
/// @return the revisions whose record is there; platform.101 when the platform
/// does not answer
absl::StatusOr<std::vector<FleetRevision>> ReadHistory(
    PlatformAccess* platform, const StoredFleet& current, std::uint32_t limit);

}  // namespace limpetlink
