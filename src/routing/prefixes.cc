#include "routing/detail/prefixes.h"

namespace limpetlink {
namespace {

constexpr std::size_t kMaxBlocks = 4096;  // per worker

}  // namespace

void PrefixHints::ApplyEvent(std::uint64_t sequence, std::uint64_t block,
                             bool present) {
  const bool restarted = sequence == 1 && this->last_sequence > 1;
  if (sequence <= this->last_sequence && !restarted) {
    return;
  }
  const bool gap = restarted || sequence != this->last_sequence + 1;
  this->last_sequence = sequence;
  if (gap) {
    this->cached.clear();
  }
  if (!present) {
    this->cached.erase(block);
  } else if (this->cached.size() < kMaxBlocks) {
    this->cached.insert(block);
  }
}

std::uint32_t PrefixHints::CountLeading(
    const std::vector<std::uint64_t>& blocks) const {
  std::uint32_t count = 0;
  for (const std::uint64_t block : blocks) {
    if (this->cached.count(block) == 0) {
      break;
    }
    ++count;
  }
  return count;
}

}  // namespace limpetlink
