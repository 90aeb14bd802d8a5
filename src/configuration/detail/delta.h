/// @file
/// @brief Differences between two versions of a document.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "base/base.h"

namespace limpetlink {

/// @brief How a delta is written; the smallest that fits is taken.
enum class DeltaForm {
  kPatch,   ///< JSON patch: small for changes in several places
  kSplice,  ///< one replaced run of bytes: small where a row comes or goes
  kFull,    ///< the whole document
};

template <>
struct EnumTable<DeltaForm> {
  static constexpr EnumName<DeltaForm> kRows[] = {
      {DeltaForm::kPatch, "patch"},
      {DeltaForm::kSplice, "splice"},
      {DeltaForm::kFull, "whole"}};
};

/// @brief Leads from one version's text to another's.
struct DocumentDelta {
  std::uint64_t from = 0;  ///< version; 0 for kFull
  std::uint64_t to = 0;
  DeltaForm form = DeltaForm::kFull;
  std::uint64_t prefix_bytes = 0;  ///< bytes kept at the front, for kSplice
  std::uint64_t suffix_bytes = 0;  ///< bytes kept at the end, for kSplice
  std::string bytes;               ///< patch, replaced run or document
  std::uint64_t digest = 0;        ///< StableHash of the resulting text
};

/// @brief Brings JSON to its one canonical text (sorted members, no spaces).
/// @return the text; fleet.101 for unreadable JSON
absl::StatusOr<std::string> CanonicalText(std::string_view json);

/// @brief Makes the smallest delta between two canonical texts.
/// @note Complexity: linear in both texts.
DocumentDelta MakeDelta(std::uint64_t from, std::string_view old_text,
                        std::uint64_t to, std::string_view new_text);

/// @brief Applies a delta to the text of its base version.
/// @return the new canonical text; fleet.101 when it does not fit the base
absl::StatusOr<std::string> ApplyDelta(const DocumentDelta& delta,
                                       std::string_view base_text);

/// @brief The difference of two documents for a person, as an RFC 6902 JSON
/// patch.
/// @return JSON text; "[]" when either is unreadable
std::string DifferenceAsPatch(std::string_view from_json,
                              std::string_view to_json);

}  // namespace limpetlink
