/// @file
/// @brief Differences between two fleet documents, as text for people and as
/// patches for hosts.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "fleet/detail/document.h"
#include "fleet/detail/parse.h"

namespace limpetlink {

/// @brief Kind of a difference.
enum class FleetDifferenceKind {
  kAdded,
  kRemoved,
  kChanged,
  kReordered,  ///< the common elements of a list changed their order
};

template <>
struct EnumTable<FleetDifferenceKind> {
  static constexpr EnumName<FleetDifferenceKind> kRows[] = {
      {FleetDifferenceKind::kAdded, "added"},
      {FleetDifferenceKind::kRemoved, "removed"},
      {FleetDifferenceKind::kChanged, "changed"},
      {FleetDifferenceKind::kReordered, "reordered"}};
};

/// @brief One difference between two documents.
struct FleetDifference {
  FleetDifferenceKind kind = FleetDifferenceKind::kChanged;
  /// List and identifier, for example "organisations/dairy"; or the name of a
  /// list or member of the document.
  std::string subject;
  /// Member of the subject, for example "weight"; empty if the whole subject
  /// differs.
  std::string member;
  std::string before;  ///< JSON; empty for an addition
  std::string after;   ///< JSON; empty for a removal
};

/// @brief Compares two documents. Ignores the change ID and the author, which
/// differ with every change.
/// @param before the older document
/// @param after the newer document
/// @return the differences in the order of the document's members; empty if the
/// documents are equivalent
/// @note Complexity: n log n in the number of aggregates.
/// @note Example:
/// @code
/// for (const FleetDifference& change : DiffFleet(old_fleet, new_fleet)) {
///   std::cout << ToText(change) << '\n';
///   // changed organisations/dairy: weight 1.0 -> 2.0
/// }
/// @endcode
std::vector<FleetDifference> DiffFleet(const FleetDocument& before,
                                       const FleetDocument& after);

/// @brief Formats a difference as one line without a newline.
/// @param change any difference
std::string ToText(const FleetDifference& change);

/// @brief Computes the JSON patch (RFC 6902) that converts one document into
/// another.
/// @param before the document that the receiver has
/// @param after the document that the patch produces
/// @return a JSON array, "[]" for equal documents. Its size is proportional to
/// the difference, except that a list whose common elements changed their order
/// is replaced completely.
/// @note Complexity: n log n in the number of aggregates.
std::string MakeFleetPatch(const FleetDocument& before,
                           const FleetDocument& after);

/// @brief Applies a JSON patch and validates the result with ParseFleet.
/// @param before the document that the patch was computed from
/// @param patch a patch from MakeFleetPatch
/// @return the patched document, or all validation errors; a patch that cannot
/// be applied gives one error
FleetParseResult PatchFleet(const FleetDocument& before,
                            std::string_view patch);

}  // namespace limpetlink
