/// @file
/// @brief Follows all objects of one kind in the metadata store.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/base.h"
#include "metadata_store/metadata_store.h"

namespace limpetlink {

/// @brief What a linearizable call showed of a kind: all that the store had
/// accepted when the call left stands at its revision.
struct LinearizableRead {
  std::string kind;
  std::uint64_t changed_at = 0;  ///< no on_change of the kind lies between this
  std::uint64_t revision = 0;    ///< and this revision
  Instant asked_at{};            ///< on the clock of the host that holds it
};

/// @brief How a kind is followed.
struct KindWatchSettings {
  std::string kind;
  /// A linearizable call proves this often that nothing is missing. Between
  /// two of them cheap watches, whose answers may be stale, bring the news.
  Duration read_interval{std::chrono::milliseconds(1500)};
  Duration batch_delay{0};  ///< after changes, so that one call brings several
  /// Hosts that hear of each other's proofs ask at different times; 0 to 1.
  double phase = 1.0;
};

/// @brief What a watch tells its owner.
struct KindWatchHooks {
  /// The whole kind as it stands; what is not in it does not exist.
  std::function<void(Instant, std::vector<ObjectRecord>)> on_snapshot;
  /// One object was changed or removed.
  std::function<void(Instant, const ObjectRecord&)> on_change;
  std::function<void(Instant)>
      on_linearizable_read;  ///< by a call of this host
};

/// @brief Lists a kind, then watches it; lists anew when the store's history
/// does not reach back far enough.
class KindWatch {
 public:
  /// @param client outlives the watch
  KindWatch(KindWatchSettings settings, KindWatchHooks hooks,
            MetadataStoreClient* client);

  /// @brief Begins to list.
  void Start(Instant now);

  /// @brief Takes an operation's result.
  /// @return whether the operation was this watch's
  bool OnResult(Instant now, StoreResult* result);

  /// @brief Lets time pass.
  void Tick(Instant now);

  /// @brief Another host made a linearizable call. What it showed counts once
  /// this watch has all changes that the call would have brought.
  /// @param proof with `asked_at` no later than the call by this host's clock
  void ApplyLinearizableRead(const LinearizableRead& proof);

  /// @return what the last linearizable call of this host showed
  const std::optional<LinearizableRead>& LastRead() const {
    return this->proof;
  }

  const std::string& Kind() const { return this->settings.kind; }

  /// @brief Others rely on this host's proofs: it asks before they would.
  void SetIsLeader(bool value) { this->leads = value; }

  /// @brief Sets the batch_delay after changes.
  void SetBatchDelay(Duration value) { this->settings.batch_delay = value; }

  /// @return when Tick is due
  Instant NextWakeup() const { return this->next_call; }

  /// @return whether the kind was read at least once
  bool HasSnapshot() const { return this->known; }

  /// @brief Gives the age of what is known. Nothing that the store accepted
  /// before that is missing.
  /// @return time since the call left whose answer was the last; never
  /// negative; Duration::max() before the first
  Duration Age(Instant now) const {
    return this->known ? now - this->fresh_at : Duration::max();
  }

 private:
  void Call(Instant now);
  void TakePage(Instant now, StoreResult* result);
  void TakeChanges(Instant now, StoreResult* result);
  void Prove(Instant now, Instant asked_at, std::uint64_t at);
  Instant ProofDue() const;

  KindWatchSettings settings;
  KindWatchHooks hooks;
  MetadataStoreClient* client;
  StoreOp op;
  bool proving = false;  ///< the call in progress is linearizable
  bool listing = true;
  bool known = false;
  std::vector<ObjectRecord> pages;
  std::string after;
  std::uint64_t revision = 0;    ///< nothing up to here is missing
  std::uint64_t changed_at = 0;  ///< of the last answer that brought changes
  std::optional<LinearizableRead> proof;
  std::optional<LinearizableRead>
      unmatched;  ///< of another host; changes are missing
  bool leads = false;
  Instant list_began{};  ///< of the first page that was answered
  Instant fresh_at{};
  Instant next_call = kNever;
};

}  // namespace limpetlink
