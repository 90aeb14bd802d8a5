/// @file
/// @brief What differs between two fleet documents, for people and for hosts.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "fleet/detail/document.h"
#include "fleet/detail/parse.h"

namespace limpetlink {

/// @brief What happened to a part of the document.
enum class FleetDifferenceKind {
  kAdded,
  kRemoved,
  kChanged,
  kReordered,  ///< a list has the same elements in another order
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
  std::string subject;  ///< list and identifier, as "organisations/dairy"; or a
                        ///< list or member of the document
  std::string member;   ///< of the subject, as "weight"; empty for the whole
  std::string before;   ///< JSON; empty for an addition
  std::string after;    ///< JSON; empty for a removal
};

/// @brief Lists what differs. The change id and the author, which differ with
/// every change, are left out.
/// @param before the older document
/// @param after the newer document
/// @return the differences, in the order of the document's members; empty when
/// both decide the same
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

/// @brief Renders a difference as one line without a line end.
/// @param change any difference
std::string ToText(const FleetDifference& change);

/// @brief Makes the JSON patch (RFC 6902) that turns one document into another.
/// @param before the document that the receiver has
/// @param after the document that it shall have
/// @return a JSON array, "[]" for equal documents. Its size grows with the
/// difference, save that a list whose common elements changed their order is
/// sent whole.
/// @note Complexity: n log n in the number of aggregates.
std::string MakeFleetPatch(const FleetDocument& before,
                           const FleetDocument& after);

/// @brief Applies a JSON patch and validates the outcome as ParseFleet does.
/// @param before the document that the patch was made against
/// @param patch as made by MakeFleetPatch
/// @return the patched document, or all errors; a patch that does not fit is
/// one fault
FleetParseResult PatchFleet(const FleetDocument& before,
                            std::string_view patch);

}  // namespace limpetlink
