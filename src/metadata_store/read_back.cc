#include "metadata_store/metadata_store.h"

namespace limpetlink {

WriteVerdict ResolveByReadBack(const WriteCondition& condition,
                               const StoreResult& read,
                               const IsOwnWrite& is_own) {
  const std::uint64_t base =
      condition.when == WriteWhen::kVersion ? condition.version : 0;
  if (read.status == StoreStatus::kAbsent) {
    return base == 0 ? WriteVerdict::kRepeat : WriteVerdict::kNotTaken;
  }
  if (read.status != StoreStatus::kOk) {
    return WriteVerdict::kNoAnswer;
  }
  if (read.version <= base) {
    return WriteVerdict::kRepeat;
  }
  if (is_own(read.bytes)) {
    return WriteVerdict::kTookEffect;
  }
  const bool next_version = read.version == base + 1;
  return next_version ? WriteVerdict::kNotTaken : WriteVerdict::kCovered;
}

}  // namespace limpetlink
