/// @file
/// @brief Keeps the quarantined inputs in the metadata store.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "metadata_store/metadata_store.h"
#include "quarantine/quarantine.h"

namespace limpetlink {

/// @brief Callbacks of QuarantineRecords.
struct QuarantineRecordsHooks {
  std::function<void(Instant)> evidence_changed;
  /// Reports the input, and what went wrong with its record.
  std::function<void(const std::string& input, const std::string& reason)>
      record_failed;
};

/// @brief One object per quarantined input, so that hosts which all start at
/// once know it. Running hosts tell each other and don't read the records.
///
/// A record has no time of day: the hold time begins anew for a host that reads
/// it, unless another host still knows when the crashes were.
class QuarantineRecords {
 public:
  /// @param kind of the objects; empty disables the records
  /// @param store and `quarantine` must outlive this
  QuarantineRecords(std::string kind, MetadataStoreClient* store,
                    InputQuarantine* quarantine, QuarantineRecordsHooks hooks)
      : kind(std::move(kind)),
        store(store),
        quarantine(quarantine),
        hooks(std::move(hooks)) {}

  /// @brief Lists the records until that has succeeded once.
  void Tick(Instant now);

  /// @brief Writes records of newly quarantined inputs and deletes those of
  /// others.
  void Update(Instant now);

  /// @brief Writes all records again: the store lost its latest changes.
  void OnStoreRestored() { this->stored.clear(); }

  /// @return whether the operation was started here
  bool OnResult(Instant now, const StoreResult& result);

  Instant NextWakeup() const { return this->next_list; }

 private:
  enum class Record { kWriting, kStored, kDeleting };

  void ApplyRecord(Instant now, const ObjectRecord& record);

  std::string kind;
  MetadataStoreClient* store;
  InputQuarantine* quarantine;
  QuarantineRecordsHooks hooks;
  Instant next_list{};  ///< kNever while listing and once listed
  std::map<std::uint64_t, std::string> operations;  ///< input; empty: the list
  std::map<std::string, Record> stored;             ///< by input
};

}  // namespace limpetlink
