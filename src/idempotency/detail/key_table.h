/// @file
/// @brief State of a shard's keys, computed by replaying its segments.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "idempotency/detail/segment.h"

namespace limpetlink {

/// @brief The keys of one shard. Hosts that apply the same segments in the same
/// order have identical tables.
class KeyTable {
 public:
  /// @brief Applies a segment.
  /// @note An intent claims a key if the key is unknown or withdrawn, or if the
  /// intent replaces the key's current claim; any other intent is ignored.
  /// Outcomes and withdrawals are ignored unless they belong to the claim that
  /// holds the key.
  /// @note Complexity: logarithmic in the number of keys for each record;
  /// linear in the number of keys for a checkpoint.
  void Apply(const Segment& segment);

  /// @brief Applies a part of a checkpoint; its entries replace existing ones.
  void ApplyPart(const std::vector<KeyedEntry>& entries);
  /// @brief Completes the load of a checkpoint after all its parts.
  void ApplyCheckpoint(const Checkpoint& checkpoint);

  /// @return the entry of a key, or nullptr if the key is unknown
  const KeyEntry* Find(const KeyDigest& key) const;

  /// @brief Returns the entries for the last part of the next checkpoint: those
  /// of the current unsealed part and those changed since.
  /// @param cutoff_ms entries last changed at or before this time are left out,
  /// in Unix milliseconds
  std::vector<KeyedEntry> UnsealedEntries(std::int64_t cutoff_ms) const;

  /// @return the parts of the last checkpoint
  const std::vector<CheckpointPart>& Parts() const { return this->parts; }
  /// @return the number of keys
  std::size_t Size() const { return this->entries.size(); }

 private:
  void Apply(const IntentRecord& record);
  void Apply(const OutcomeRecord& record);
  void Apply(const WithdrawRecord& record);
  void RemoveExpired(std::int64_t cutoff_ms);

  std::map<KeyDigest, KeyEntry> entries;
  /// Keys whose latest state is not in a sealed part.
  std::set<KeyDigest> unsealed_keys;
  std::vector<CheckpointPart> parts;
};

}  // namespace limpetlink
