/// @file
/// @brief Resolution of conditional writes whose response was lost.
#pragma once

#include <functional>
#include <string_view>

#include "metadata_store/detail/types.h"

namespace limpetlink {

/// @brief Outcome of an earlier conditional write, inferred from a read.
enum class WriteOutcome {
  kApplied,     ///< the write is the object's current version
  kNotApplied,  ///< another write created its version; it can never apply
  /// The object is still at the base version and the lost write may yet arrive.
  /// Retry the same bytes with the same condition: at most one of the two
  /// writes takes effect.
  kRetry,
  kUndetermined,  ///< later versions exist; only a history can decide
  kReadFailed,    ///< the read itself failed
};

template <>
struct EnumTable<WriteOutcome> {
  static constexpr EnumName<WriteOutcome> kRows[] = {
      {WriteOutcome::kApplied, "took_effect"},
      {WriteOutcome::kNotApplied, "not_taken"},
      {WriteOutcome::kRetry, "repeat"},
      {WriteOutcome::kUndetermined, "covered"},
      {WriteOutcome::kReadFailed, "no_answer"}};
};

/// @brief Returns whether the write in question produced these bytes.
using IsOwnWrite = std::function<bool(std::string_view bytes)>;

/// @brief Infers the outcome of a write whose response was lost from a read.
/// @param condition the write's condition (kAbsent or kVersion); the base
/// version is 0 for kAbsent
/// @param read the result of a get of the same object, started after the
/// response was lost
/// @param is_own finds the change id or nonce in the bytes
/// @return the outcome
/// @note Requires that each write increments the version by one and that the
/// object is never deleted.
/// @note Example:
/// @code
/// if (result.status == StoreStatus::kUnknown) {
///   op = client.Get(now, key);
/// }
/// // later, with the result of that get:
/// switch (ResolveByReadBack(condition, read, is_own)) { ... }
/// @endcode
WriteOutcome ResolveByReadBack(const WriteCondition& condition,
                               const StoreResult& read,
                               const IsOwnWrite& is_own);

}  // namespace limpetlink
