/// @file
/// @brief PrefixHints: the prompt prefixes that a worker probably has cached.
#pragma once

#include <cstdint>
#include <unordered_set>
#include <vector>

#include "base/base.h"

namespace limpetlink {

/// @brief Approximates the contents of one worker's prefix cache. It affects
/// only the order of workers, never correctness.
class PrefixHints {
 public:
  /// @brief Applies a cache event. A gap in the sequence clears all hints.
  /// @param sequence number of the event; repeated events are ignored
  /// @param block hash of a prompt block
  /// @param present whether the cache holds the block now
  void ApplyEvent(std::uint64_t sequence, std::uint64_t block, bool present);

  /// @brief Counts the leading blocks that are probably in the cache.
  /// @param blocks hashes of the prompt's leading blocks
  /// @note Complexity: linear in the blocks found.
  std::uint32_t CountLeading(const std::vector<std::uint64_t>& blocks) const;

 private:
  std::unordered_set<std::uint64_t> cached;
  std::uint64_t last_sequence = 0;
};

}  // namespace limpetlink
