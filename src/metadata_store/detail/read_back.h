/// @file
/// @brief Deciding what became of a conditional write whose answer was lost.
#pragma once

#include <functional>
#include <string_view>

#include "metadata_store/detail/types.h"

namespace limpetlink {

/// @brief What a read says of an earlier conditional write.
enum class WriteOutcome {
  kApplied,     ///< the write is the object's current version
  kNotApplied,  ///< another write took its version: it can never take effect
  kRetry,       ///< the object is still at the base version; the lost write may
           ///< yet arrive, so repeat the same bytes with the same condition:
           ///< at most one of both takes effect
  kUndetermined,  ///< later versions stand above it; only a history can tell
  kReadFailed,    ///< the read itself had no answer
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

/// @brief Says whether an object's bytes were written by the change in
/// question.
using IsOwnWrite = std::function<bool(std::string_view bytes)>;

/// @brief Resolves a lost answer by reading the object back.
/// @param condition the write's condition (kAbsent or kVersion); the base
/// version is 0 for kAbsent
/// @param read the result of a get of the same object, begun after the answer
/// was lost
/// @param is_own looks for the change id or nonce inside the bytes
/// @return the verdict
/// @note Relies on versions that rise by one with each write and on the object
/// never being deleted.
/// @note Example:
/// @code
/// if (result.status == StoreStatus::kUnknown) { op = client.Get(now, key);
/// }
/// // later, with the answer of that get:
/// switch (ResolveByReadBack(condition, read, is_own)) { ... }
/// @endcode
WriteOutcome ResolveByReadBack(const WriteCondition& condition,
                               const StoreResult& read,
                               const IsOwnWrite& is_own);

}  // namespace limpetlink
