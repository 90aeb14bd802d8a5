/// @file
/// @brief What is asked of the platform and what it answered.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/base.h"

namespace limpetlink {

/// @brief An operation of one MetadataStoreClient.
using StoreOp = NumberId<struct StoreOpTag>;

/// @brief Names an object.
struct ObjectKey {
  std::string kind;
  std::string name;  ///< may hold '/'
};

/// @brief What an operation does.
enum class StoreVerb {
  kGet,
  kPut,
  kDelete,
  kList,
  kWatch,
  kHosts,
  kListRecords,  ///< objects of a kind with their contents
  kWatchKind,    ///< changes of any object of a kind
};

template <>
struct EnumTable<StoreVerb> {
  static constexpr EnumName<StoreVerb> kRows[] = {
      {StoreVerb::kGet, "get"},
      {StoreVerb::kPut, "put"},
      {StoreVerb::kDelete, "delete"},
      {StoreVerb::kList, "list"},
      {StoreVerb::kWatch, "watch"},
      {StoreVerb::kHosts, "hosts"},
      {StoreVerb::kListRecords, "list_records"},
      {StoreVerb::kWatchKind, "watch_kind"}};
};

/// @brief How an operation ended.
enum class StoreStatus {
  kOk,           ///< done; version and bytes are set where they apply
  kAbsent,       ///< there is no such object
  kConflict,     ///< the write's condition failed; version is the current one
  kUnchanged,    ///< the watch passed without a newer version
  kThrottled,    ///< refused for the rate, by the platform or by this host's
                 ///< own budget; it did not run
  kUnavailable,  ///< it did not run, or was a read without an answer
  kUnknown,      ///< a write whose answer was lost: it may yet take effect
  kRefused,      ///< the platform says that the call is wrong; it did not run
  kHistoryGone,  ///< the store no longer holds the changes since the watched
                 ///< revision
};

template <>
struct EnumTable<StoreStatus> {
  static constexpr EnumName<StoreStatus> kRows[] = {
      {StoreStatus::kOk, "ok"},
      {StoreStatus::kAbsent, "absent"},
      {StoreStatus::kConflict, "conflict"},
      {StoreStatus::kUnchanged, "unchanged"},
      {StoreStatus::kThrottled, "throttled"},
      {StoreStatus::kUnavailable, "unavailable"},
      {StoreStatus::kUnknown, "unknown"},
      {StoreStatus::kRefused, "refused"},
      {StoreStatus::kHistoryGone, "history_gone"}};
};

/// @brief What must hold for a write to take effect.
enum class WriteConditionKind { kAlways, kAbsent, kVersion };

/// @brief The condition of a write.
struct WriteCondition {
  WriteConditionKind when = WriteConditionKind::kAlways;
  std::uint64_t version = 0;  ///< for kVersion

  /// @return a condition that holds when the object does not exist
  static WriteCondition IfAbsent() { return {WriteConditionKind::kAbsent, 0}; }
  /// @return a condition that holds at exactly this version
  static WriteCondition IfVersion(std::uint64_t version) {
    return {WriteConditionKind::kVersion, version};
  }
};

/// @brief One row of a listing.
struct ObjectEntry {
  std::string name;
  std::uint64_t version = 0;
};

/// @brief An object of a kind, or the news that it was removed.
struct ObjectRecord {
  std::string name;
  std::uint64_t version = 0;  ///< revision of its last change
  bool deleted = false;
  std::string bytes;  ///< what its writer stored, as JSON text
};

/// @brief What a listed host is for.
enum class ListedRole { kEntry, kUpstream };

template <>
struct EnumTable<ListedRole> {
  static constexpr EnumName<ListedRole> kRows[] = {
      {ListedRole::kEntry, "entry"}, {ListedRole::kUpstream, "upstream"}};
};

/// @brief One row of the platform's host list, which lags.
struct ListedHost {
  std::string id;
  std::string address;  ///< "ip:port"
  ListedRole role = ListedRole::kEntry;
  bool leaving = false;
};

/// @brief An operation's one answer.
struct StoreResult {
  StoreOp op;
  StoreVerb verb = StoreVerb::kGet;
  StoreStatus status = StoreStatus::kUnavailable;
  ObjectKey key;
  std::uint64_t version = 0;          ///< of the object, for kOk and kConflict
  std::string bytes;                  ///< of the object, for get and watch
  std::vector<ObjectEntry> objects;   ///< for list
  std::vector<ListedHost> hosts;      ///< for hosts
  std::vector<ObjectRecord> records;  ///< for list_records and watch_kind
  std::uint64_t revision = 0;  ///< of the store, for list_records, watch_kind
  bool truncated = false;      ///< list_records: more follow the last record
  Instant sent_at{};  ///< when the answered call left; what the answer says
                      ///< held at that time or later
  Duration retry_after{0};  ///< when to ask again, for kThrottled/kUnavailable
};

/// @brief How the platform does, as seen by this host.
enum class StoreMode {
  kNormal,
  kSlow,    ///< it answers, but takes long
  kOutage,  ///< several calls in a row had no answer; one call at a time probes
};

template <>
struct EnumTable<StoreMode> {
  static constexpr EnumName<StoreMode> kRows[] = {
      {StoreMode::kNormal, "normal"},
      {StoreMode::kSlow, "slow"},
      {StoreMode::kOutage, "outage"}};
};

/// @brief What is known of the platform; lets a caller judge how old its
/// knowledge may be.
struct StoreHealth {
  StoreMode mode = StoreMode::kNormal;
  bool has_responded = false;
  Instant last_response{};  ///< of the last call that was answered
  Duration latency{0};      ///< moving mean of answered calls, without watches
  std::uint32_t consecutive_failures = 0;

  /// @return how long ago the platform last answered; Duration::max() when
  /// never
  Duration Staleness(Instant now) const {
    return this->has_responded ? now - this->last_response : Duration::max();
  }
};

/// @brief Calls that one host may make; a waiting watch counts as a call each
/// time it is opened.
struct CallBudget {
  double reads_per_second = 3.0;
  double read_burst = 12.0;
  double writes_per_second = 0.5;
  double write_burst = 8.0;
};

/// @brief The platform's limits on the sum of calls.
struct StoreLimits {
  double reads_per_second = 2000.0;
  double writes_per_second = 300.0;
};

/// @brief Splits the platform's limits over the live hosts, keeping a part
/// free.
/// @param limits of the platform
/// @param live_hosts how many hosts share them; fewer than 6 counts as 6
/// @return one host's budget; the sum of all hosts' stays at 80% of the limits
CallBudget CallBudgetPerHost(const StoreLimits& limits, std::size_t live_hosts);

/// @brief Calls counted since the client was made.
struct StoreCounters {
  std::uint64_t reads = 0;               ///< calls sent: get, list, hosts
  std::uint64_t watches = 0;             ///< calls sent: watch
  std::uint64_t writes = 0;              ///< calls sent: put, delete
  std::uint64_t throttled = 0;           ///< answers 429
  std::uint64_t failures = 0;            ///< no answer, or 5xx
  std::uint64_t rejected_by_budget = 0;  ///< ended without a call
};

}  // namespace limpetlink
