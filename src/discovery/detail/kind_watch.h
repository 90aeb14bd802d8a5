/// @file
/// @brief Watches all objects of one kind in the metadata store.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
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
  std::uint64_t era = 0;         ///< of the store; scopes the revisions
};

/// @brief All changes of a kind between two revisions of the store, as one host
/// relays them to others.
struct KindChanges {
  std::string kind;
  std::uint64_t era = 0;              ///< of the store; scopes the revisions
  std::uint64_t from = 0;             ///< exclusive
  std::uint64_t to = 0;               ///< inclusive
  std::vector<ObjectRecord> records;  ///< in the order of the changes
};

/// @brief Position in the changes of a kind after which a host misses some.
struct MissingChanges {
  std::string kind;
  std::uint64_t era = 0;
  std::uint64_t revision = 0;  ///< every change up to here was received
};

/// @brief How a host obtains the changes of a kind.
enum class WatchRole {
  kIndependent,  ///< watches the store; no other host uses its reads
  kLeader,       ///< watches the store and reads before the other hosts do
  kStandby,      ///< watches the store, so that changes of a failed leader
                 ///< are not missed
  kFollower,     ///< receives the changes from other hosts
};

template <>
struct EnumTable<WatchRole> {
  static constexpr EnumName<WatchRole> kRows[] = {
      {WatchRole::kIndependent, "independent"},
      {WatchRole::kLeader, "leader"},
      {WatchRole::kStandby, "standby"},
      {WatchRole::kFollower, "follower"}};
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
  /// Called when this host has read changes that others may not know.
  std::function<void(Instant)> on_relay{};
  /// Called when changes are missing that this host cannot read from the store;
  /// other hosts may have them.
  std::function<void(Instant, const MissingChanges&)> on_missing{};
  /// Called when a call to the store failed, or a linearizable one had no
  /// response in the usual time.
  std::function<void(Instant)> on_store_failure{};
  /// Called when the store came back from an older copy, before its content is
  /// listed again: objects written since then may be missing for a while.
  std::function<void(Instant)> on_store_restored{};
};

/// @brief Lists a kind, then watches it; lists it again when the store's
/// history does not reach back far enough, or when the store was restored from
/// an older copy.
///
/// The list after the start and most watches accept stale responses; only
/// linearizable reads, of this or another host, lower the age.
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
  void ApplyLinearizableRead(Instant now, const LinearizableRead& read);

  /// @brief Applies changes that another host relays. Changes that do not
  /// follow on what this watch knows are not applied; it then reads them from
  /// the store, unless they arrive from another host soon.
  void ApplyChanges(Instant now, const KindChanges& changes);

  /// @return the last linearizable read of this host
  const std::optional<LinearizableRead>& LastRead() const {
    return this->last_read;
  }

  /// @brief Returns the latest changes for other hosts. Includes changes
  /// relayed before, as messages may be lost.
  /// @param max_bytes limit of the records' size; older changes are left out,
  /// and `from` tells up to where
  KindChanges RecentChanges(Instant now, std::size_t max_bytes) const;

  /// @brief Returns the changes that another host misses.
  /// @return the changes, or nullopt if this host does not know all of them or
  /// they exceed `max_bytes`
  std::optional<KindChanges> ChangesSince(const MissingChanges& missing,
                                          std::size_t max_bytes) const;

  const std::string& Kind() const { return this->settings.kind; }

  /// @brief Sets how this host obtains changes.
  void SetRole(Instant now, WatchRole role);

  /// @brief Handles the failed call of another host. A follower then tries the
  /// store at its own turn only, so that the calls during an outage do not grow
  /// with the hosts.
  void OnNeighbourFailure(Instant now);

  /// @brief Sets the time over which followers spread their calls while the
  /// store does not answer; by default they do not wait for each other.
  void SetFailureSpread(Duration value) { this->failure_spread = value; }

  /// @brief Sets the delay of the next call after changes.
  void SetBatchDelay(Duration value) { this->settings.batch_delay = value; }

  /// @return the latest time at which Tick must be called
  Instant NextWakeup() const {
    return std::min({this->next_call, this->repeat_at, this->suspect_at});
  }

  /// @return whether the kind was listed and a linearizable read has confirmed
  /// that no change is missing
  bool HasSnapshot() const { return this->fresh_at.has_value(); }

  /// @brief Returns the age of the known state. It includes everything that
  /// the store had accepted before then.
  /// @return time since the last confirming read was sent; never negative;
  /// Duration::max() before the first
  Duration Age(Instant now) const {
    return this->fresh_at.has_value() ? now - *this->fresh_at : Duration::max();
  }

 private:
  struct HistoryPart {
    Instant read_at{};
    std::uint64_t from = 0;
    std::uint64_t to = 0;
    std::vector<ObjectRecord> records;
  };

  void Call(Instant now);
  void StartList(Instant now, bool allow_stale);
  /// @brief Compares the era of a response with the one known.
  /// @return whether the response can be used
  bool CheckEra(Instant now, std::uint64_t era);
  void HandlePage(Instant now, StoreResult* result);
  void HandleChanges(Instant now, StoreResult* result);
  /// @brief Applies the records that are newer than the known state.
  /// @return whether there were any
  bool ApplyRecords(Instant now, std::vector<ObjectRecord> records,
                    std::uint64_t to);
  void Relay(Instant now);
  /// @return whether a change is newer than the known state of its object
  bool IsNews(const ObjectRecord& record) const;
  void RecordRead(Instant now, Instant sent_at, std::uint64_t at);
  void ApplyPendingRead(Instant now);
  void RequestMissing(Instant now, std::uint64_t revision);
  void AskOtherHosts(Instant now);
  void ReportFailure(Instant now);
  /// @brief Ends the waiting of OnNeighbourFailure().
  void OnStoreAnswers(Instant now);
  Duration RetryDelay(const StoreResult& result) const;
  void ScheduleNext(Instant now);
  Instant NextReadDue(Instant now) const;

  KindWatchSettings settings;
  KindWatchHooks hooks;
  MetadataStoreClient* client;
  StoreOp op;
  bool linearizable = false;  ///< whether the call in progress is linearizable
  bool listing = true;
  bool list_allows_stale = true;
  bool has_snapshot = false;
  std::vector<ObjectRecord> pages;
  std::uint64_t pages_revision = 0;  ///< the lowest of the pages so far
  Instant list_sent_at{};            ///< when its first page was requested
  std::string after;
  std::optional<std::uint64_t> era;  ///< of the store's last response
  std::uint64_t revision = 0;        ///< every change up to here was received
  std::uint64_t changed_at = 0;      ///< of the last response with changes
  /// The existing objects. Changes may arrive more than once, from several
  /// hosts and after a list that includes them already.
  std::map<std::string, ObjectRecord> objects;
  std::uint64_t deleted_at = 0;  ///< revision of the last known deletion
  std::optional<LinearizableRead> last_read;
  std::optional<LinearizableRead>
      pending_read;  ///< of another host, whose changes have not all arrived
  std::uint64_t missing_revision = 0;  ///< newest change known to be missing
  Instant missing_due = kNever;        ///< when to read it from the store
  std::deque<HistoryPart> history;     ///< of the latest changes
  Instant repeat_at = kNever;          ///< when to relay them once more
  int repeats_left = 0;
  Duration relay_span{0};  ///< age of the changes to relay
  WatchRole role = WatchRole::kIndependent;
  Instant started_at{};
  std::optional<Instant> fresh_at;
  Instant retry_at{};           ///< after a failed call
  bool call_failed = false;     ///< whether the last call failed
  Instant suspect_at = kNever;  ///< when the call in progress is overdue
  Duration failure_spread{0};
  std::optional<Instant> outage_since;  ///< first failure of another host
  Instant next_call = kNever;
};

}  // namespace limpetlink
