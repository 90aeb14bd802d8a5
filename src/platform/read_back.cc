#include "platform/platform.h"

namespace limpetlink {

WriteVerdict ResolveByReadBack(const WriteCondition& condition,
                               const PlatformResult& read,
                               const IsOwnWrite& is_own) {
  const std::uint64_t base =
      condition.when == WriteWhen::kVersion ? condition.version : 0;
  if (read.status == PlatformStatus::kAbsent) {
    return base == 0 ? WriteVerdict::kRepeat : WriteVerdict::kNotTaken;
  }
  if (read.status != PlatformStatus::kOk) {
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
