/// @file
/// @brief Hints about the prompt prefixes that a worker holds in its cache.
#pragma once

#include <cstdint>
#include <unordered_set>
#include <vector>

#include "base/base.h"

namespace limpetlink {

/// @brief What is known of one worker's cache. A hint only: it orders workers
/// and never decides safety.
class PrefixHints {
 public:
  /// @brief Takes a cache event in. A gap in the sequence clears every hint.
  /// @param sequence the event's number; repeats are ignored
  /// @param block hash of a prompt block
  /// @param present whether the cache holds the block now
  void ApplyEvent(std::uint64_t sequence, std::uint64_t block, bool present);

  /// @brief Counts the leading blocks that the cache is thought to hold.
  /// @param blocks hashes of the prompt's leading blocks
  /// @note Complexity: linear in the blocks found.
  std::uint32_t CountLeading(const std::vector<std::uint64_t>& blocks) const;

 private:
  std::unordered_set<std::uint64_t> held;
  std::uint64_t last = 0;
};

}  // namespace limpetlink
