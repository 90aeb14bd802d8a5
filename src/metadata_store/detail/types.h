/// @file
/// @brief Operations on the platform's objects and their results.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/base.h"

namespace limpetlink {

/// @brief Identifies an operation of one MetadataStoreClient.
using StoreOp = NumberId<struct StoreOpTag>;

/// @brief Identifies an object.
struct ObjectKey {
  std::string kind;
  std::string name;  ///< may contain '/'
};

/// @brief Type of an operation.
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

/// @brief Outcome of an operation.
enum class StoreStatus {
  kOk,           ///< succeeded; version and bytes are set where they apply
  kAbsent,       ///< the object does not exist
  kConflict,     ///< the write's condition failed; version is the current one
  kUnchanged,    ///< the watch ended without a newer version
  kThrottled,    ///< rejected by the platform's rate limit or by this host's
                 ///< call budget; it did not run
  kUnavailable,  ///< it did not run, or was a read without a response
  kUnknown,      ///< a write whose response was lost; it may still apply
  kRefused,      ///< the platform rejected the call as invalid; it did not run
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

/// @brief Type of a write's precondition.
enum class WriteConditionKind { kAlways, kAbsent, kVersion };

/// @brief Precondition for a write to take effect.
struct WriteCondition {
  WriteConditionKind kind = WriteConditionKind::kAlways;
  std::uint64_t version = 0;  ///< for kVersion

  /// @return a condition that requires that the object does not exist
  static WriteCondition IfAbsent() { return {WriteConditionKind::kAbsent, 0}; }
  /// @return a condition that requires exactly this version
  static WriteCondition IfVersion(std::uint64_t version) {
    return {WriteConditionKind::kVersion, version};
  }
};

/// @brief One row of an object listing.
struct ObjectEntry {
  std::string name;
  std::uint64_t version = 0;
};

/// @brief An object with its contents, or a deletion marker.
struct ObjectRecord {
  std::string name;
  std::uint64_t version = 0;  ///< revision of the last change
  bool deleted = false;
  std::string bytes;  ///< the stored contents, as JSON text
};

/// @brief Role of a listed host.
enum class ListedRole { kEntry, kUpstream };

template <>
struct EnumTable<ListedRole> {
  static constexpr EnumName<ListedRole> kRows[] = {
      {ListedRole::kEntry, "entry"}, {ListedRole::kUpstream, "upstream"}};
};

/// @brief One row of the platform's host list, which may be out of date.
struct ListedHost {
  std::string id;
  std::string address;  ///< "ip:port"
  ListedRole role = ListedRole::kEntry;
  bool leaving = false;
};

/// @brief Result of an operation.
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
  /// Increases when the store is restored from an older copy, after which
  /// revisions are assigned again; 0 if the store does not tell.
  std::uint64_t era = 0;
  bool truncated = false;  ///< list_records: more records follow the last
  Instant sent_at{};       ///< when the successful call was sent; the response
                           ///< reflects the state at that time or later
  Duration retry_after{
      0};  ///< delay before a retry, for kThrottled/kUnavailable
};

/// @brief State of the platform as observed by this host.
enum class StoreMode {
  kNormal,
  kSlow,    ///< responds, but with high latency
  kOutage,  ///< several consecutive calls failed; one probe at a time
};

template <>
struct EnumTable<StoreMode> {
  static constexpr EnumName<StoreMode> kRows[] = {
      {StoreMode::kNormal, "normal"},
      {StoreMode::kSlow, "slow"},
      {StoreMode::kOutage, "outage"}};
};

/// @brief Observed health of the platform, including how long ago it last
/// responded.
struct StoreHealth {
  StoreMode mode = StoreMode::kNormal;
  bool has_responded = false;
  Instant last_response{};  ///< time of the last response
  Duration latency{0};      ///< moving average of responses, without watches
  std::uint32_t consecutive_failures = 0;

  /// @return the time since the platform's last response; Duration::max() if
  /// there was none
  Duration Staleness(Instant now) const {
    return this->has_responded ? now - this->last_response : Duration::max();
  }
};

/// @brief Call rates allowed to one host. A watch counts as one read each time
/// it is opened.
struct CallBudget {
  double reads_per_second = 3.0;
  double read_burst = 12.0;
  double writes_per_second = 0.5;
  double write_burst = 8.0;
};

/// @brief The platform's limits on the total call rate of all hosts.
struct StoreLimits {
  double reads_per_second = 2000.0;
  double writes_per_second = 300.0;
};

/// @brief Divides the platform's limits among the live hosts, with headroom.
/// @param limits the platform's limits
/// @param live_hosts number of hosts that share them; fewer than 6 count as 6
/// @return one host's budget; the rates of all hosts add up to at most 80% of
/// the limits
CallBudget CallBudgetPerHost(const StoreLimits& limits, std::size_t live_hosts);

/// @brief Call counters since the client was constructed.
struct StoreCounters {
  std::uint64_t reads = 0;      ///< calls sent: get, list, hosts
  std::uint64_t watches = 0;    ///< calls sent: watch
  std::uint64_t writes = 0;     ///< calls sent: put, delete
  std::uint64_t throttled = 0;  ///< responses 429
  std::uint64_t failures = 0;   ///< no response, or 5xx
  std::uint64_t rejected_by_budget =
      0;  ///< operations that expired while queued
};

}  // namespace limpetlink
