/// @file
/// @brief Differences between two versions of a document.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "base/base.h"

namespace limpetlink {

/// @brief Encoding of a delta. MakeDelta selects the smallest.
enum class DeltaForm {
  kPatch,   ///< JSON patch; small if several places changed
  kSplice,  ///< one replaced byte range; small if an element was added or
            ///< removed
  kFull,    ///< the complete document
};

template <>
struct EnumTable<DeltaForm> {
  static constexpr EnumName<DeltaForm> kRows[] = {
      {DeltaForm::kPatch, "patch"},
      {DeltaForm::kSplice, "splice"},
      {DeltaForm::kFull, "whole"}};
};

/// @brief Converts the text of one version to that of another.
struct DocumentDelta {
  std::uint64_t from = 0;  ///< base version; 0 for kFull
  std::uint64_t to = 0;
  DeltaForm form = DeltaForm::kFull;
  std::uint64_t prefix_bytes = 0;  ///< kept from the start, for kSplice
  std::uint64_t suffix_bytes = 0;  ///< kept from the end, for kSplice
  std::string bytes;               ///< patch, replacement bytes or document
  std::uint64_t digest = 0;        ///< StableHash of the resulting text
};

/// @brief Converts JSON to its canonical text (sorted members, no whitespace).
/// @return the text; fleet.101 if the input is not a JSON object
absl::StatusOr<std::string> CanonicalText(std::string_view json);

/// @brief Computes the smallest delta between two canonical texts.
/// @note Complexity: linear in the size of both texts.
DocumentDelta MakeDelta(std::uint64_t from, std::string_view old_text,
                        std::uint64_t to, std::string_view new_text);

/// @brief Applies a delta to the text of its base version.
/// @return the new canonical text; fleet.101 if the delta does not match the
/// base
absl::StatusOr<std::string> ApplyDelta(const DocumentDelta& delta,
                                       std::string_view base_text);

/// @brief Returns the human-readable difference of two documents as a JSON
/// patch (RFC 6902).
/// @return JSON text; "[]" if either document is not valid JSON
std::string DifferenceAsPatch(std::string_view from_json,
                              std::string_view to_json);

}  // namespace limpetlink
