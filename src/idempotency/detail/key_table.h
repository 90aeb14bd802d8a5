/// @file
/// @brief What a shard's log says of its keys: a pure fold over its segments.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "idempotency/detail/segment.h"

namespace limpetlink {

/// @brief The keys of a shard. Every host that folds the same segments in the
/// same order holds the same table.
class KeyTable {
 public:
  /// @brief Folds a segment in.
  /// @note An intent takes a key that is unknown or withdrawn, or whose claim
  /// is the one that it replaces; any other intent is ignored. Outcomes and
  /// withdrawals count only for the claim that holds the key.
  /// @note Complexity: logarithmic in the keys for each record; a checkpoint
  /// is linear in the keys.
  void Apply(const Segment& segment);

  /// @brief Folds a part of a checkpoint in; later entries win.
  void ApplyPart(const std::vector<KeyedEntry>& entries);
  /// @brief Ends the reading of a checkpoint's parts.
  void ApplyCheckpoint(const Checkpoint& checkpoint);

  /// @return what the log says of the key, or nullptr
  const KeyEntry* Find(const KeyDigest& key) const;

  /// @brief Names what the next checkpoint's last part holds: the keys of an
  /// unsealed last part and those touched since.
  std::vector<KeyedEntry> UnsealedEntries(std::int64_t cutoff_ms) const;

  /// @return the parts of the last checkpoint
  const std::vector<CheckpointPart>& Parts() const { return this->parts; }
  /// @return keys held
  std::size_t Size() const { return this->entries.size(); }

 private:
  void Apply(const IntentRecord& record);
  void Apply(const OutcomeRecord& record);
  void Apply(const WithdrawRecord& record);
  void RemoveExpired(std::int64_t cutoff_ms);

  std::map<KeyDigest, KeyEntry> entries;
  std::set<KeyDigest> unsealed_keys;  ///< in no sealed part in their last state
  std::vector<CheckpointPart> parts;
};

}  // namespace limpetlink
