/// @file
/// @brief Watches all objects of one kind in the metadata store.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/base.h"
#include "metadata_store/metadata_store.h"

namespace limpetlink {

/// @brief Result of a linearizable read of a kind: its revision includes
/// everything that the store had accepted when the call was sent.
struct LinearizableRead {
  std::string kind;
  std::uint64_t changed_at = 0;  ///< the kind did not change between this
  std::uint64_t revision = 0;    ///< and this revision
  Instant sent_at{};             ///< by the clock of the host that keeps this
};

/// @brief Settings of a watch.
struct KindWatchSettings {
  std::string kind;
  /// Interval of the linearizable reads, which confirm that no change was
  /// missed. Between two of them cheap watch calls, whose responses may be
  /// stale, deliver the changes.
  Duration read_interval{std::chrono::milliseconds(1500)};
  /// Delay of the next call after changes, so that it returns several at once.
  Duration batch_delay{0};
  /// From 0 to 1; differs between hosts that receive each other's reads, so
  /// that they read at different times.
  double phase = 1.0;
};

/// @brief Callbacks of a watch.
struct KindWatchHooks {
  /// Receives all objects of the kind; any other object does not exist.
  std::function<void(Instant, std::vector<ObjectRecord>)> on_snapshot;
  /// Receives one changed or removed object.
  std::function<void(Instant, const ObjectRecord&)> on_change;
  /// Called after a linearizable read of this host.
  std::function<void(Instant)> on_linearizable_read;
};

/// @brief Lists a kind, then watches it; lists it again when the store's
/// history does not reach back far enough.
class KindWatch {
 public:
  /// @param client must outlive the watch
  KindWatch(KindWatchSettings settings, KindWatchHooks hooks,
            MetadataStoreClient* client);

  /// @brief Starts listing.
  void Start(Instant now);

  /// @brief Handles the result of an operation.
  /// @return whether this watch had started the operation
  bool OnResult(Instant now, StoreResult* result);

  /// @brief Sends the next call when it is due.
  void Tick(Instant now);

  /// @brief Applies a linearizable read of another host. It counts as soon as
  /// this watch has received all changes up to the read's `changed_at`.
  /// @param read with `sent_at` no later than the call by this host's clock
  void ApplyLinearizableRead(const LinearizableRead& read);

  /// @return the last linearizable read of this host
  const std::optional<LinearizableRead>& LastRead() const {
    return this->last_read;
  }

  const std::string& Kind() const { return this->settings.kind; }

  /// @brief Sets whether the other hosts use the reads of this one. The leader
  /// reads before their own reads are due.
  void SetIsLeader(bool value) { this->is_leader = value; }

  /// @brief Sets the delay of the next call after changes.
  void SetBatchDelay(Duration value) { this->settings.batch_delay = value; }

  /// @return the latest time at which Tick must be called
  Instant NextWakeup() const { return this->next_call; }

  /// @return whether the kind was listed at least once
  bool HasSnapshot() const { return this->has_snapshot; }

  /// @brief Returns the age of the known state. It includes everything that
  /// the store had accepted before then.
  /// @return time since the last confirming read was sent; never negative;
  /// Duration::max() before the first
  Duration Age(Instant now) const {
    return this->has_snapshot ? now - this->fresh_at : Duration::max();
  }

 private:
  void Call(Instant now);
  void HandlePage(Instant now, StoreResult* result);
  void HandleChanges(Instant now, StoreResult* result);
  void RecordRead(Instant now, Instant sent_at, std::uint64_t at);
  Instant NextReadDue() const;

  KindWatchSettings settings;
  KindWatchHooks hooks;
  MetadataStoreClient* client;
  StoreOp op;
  bool linearizable = false;  ///< whether the call in progress is linearizable
  bool listing = true;
  bool has_snapshot = false;
  std::vector<ObjectRecord> pages;
  std::string after;
  std::uint64_t revision = 0;    ///< every change up to here was received
  std::uint64_t changed_at = 0;  ///< of the last response with changes
  std::optional<LinearizableRead> last_read;
  std::optional<LinearizableRead>
      pending_read;  ///< of another host, whose changes have not all arrived
  bool is_leader = false;
  Instant list_started_at{};  ///< when the call of the first page was sent
  Instant fresh_at{};
  Instant next_call = kNever;
};

}  // namespace limpetlink
