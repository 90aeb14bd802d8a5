#include "routing/detail/prefixes.h"

namespace limpetlink {
namespace {

constexpr std::size_t kMaxBlocks = 4096;  // per worker

}  // namespace

void PrefixHints::ApplyEvent(std::uint64_t sequence, std::uint64_t block,
                             bool present) {
  const bool restarted = sequence == 1 && this->last > 1;
  if (sequence <= this->last && !restarted) {
    return;
  }
  const bool gap = restarted || sequence != this->last + 1;
  this->last = sequence;
  if (gap) {
    this->held.clear();
  }
  if (!present) {
    this->held.erase(block);
  } else if (this->held.size() < kMaxBlocks) {
    this->held.insert(block);
  }
}

std::uint32_t PrefixHints::CountLeading(
    const std::vector<std::uint64_t>& blocks) const {
  std::uint32_t count = 0;
  for (const std::uint64_t block : blocks) {
    if (this->held.count(block) == 0) {
      break;
    }
    ++count;
  }
  return count;
}

}  // namespace limpetlink
