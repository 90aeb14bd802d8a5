#include "metadata_store/metadata_store.h"

namespace limpetlink {

WriteOutcome ResolveByReadBack(const WriteCondition& condition,
                               const StoreResult& read,
                               const IsOwnWrite& is_own) {
  const std::uint64_t base =
      condition.kind == WriteConditionKind::kVersion ? condition.version : 0;
  if (read.status == StoreStatus::kAbsent) {
    return base == 0 ? WriteOutcome::kRetry : WriteOutcome::kNotApplied;
  }
  if (read.status != StoreStatus::kOk) {
    return WriteOutcome::kReadFailed;
  }
  if (read.version <= base) {
    return WriteOutcome::kRetry;
  }
  if (is_own(read.bytes)) {
    return WriteOutcome::kApplied;
  }
  const bool next_version = read.version == base + 1;
  return next_version ? WriteOutcome::kNotApplied : WriteOutcome::kUndetermined;
}

}  // namespace limpetlink
