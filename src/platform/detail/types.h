/// @file
/// @brief What is asked of the platform and what it answered.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/base.h"

namespace limpetlink {

/// @brief An operation of one PlatformClient.
using PlatformOp = NumberId<struct PlatformOpTag>;

/// @brief Names an object.
struct ObjectKey {
  std::string kind;
  std::string name;  ///< may hold '/'
};

/// @brief What an operation does.
enum class PlatformVerb {
  kGet,
  kPut,
  kDelete,
  kList,
  kWatch,
  kHosts,
};

template <>
struct EnumTable<PlatformVerb> {
  static constexpr EnumName<PlatformVerb> kRows[] = {
      {PlatformVerb::kGet, "get"},       {PlatformVerb::kPut, "put"},
      {PlatformVerb::kDelete, "delete"}, {PlatformVerb::kList, "list"},
      {PlatformVerb::kWatch, "watch"},   {PlatformVerb::kHosts, "hosts"}};
};

/// @brief How an operation ended.
enum class PlatformStatus {
  kOk,           ///< done; version and bytes are set where they apply
  kAbsent,       ///< there is no such object
  kConflict,     ///< the write's condition failed; version is the current one
  kUnchanged,    ///< the watch passed without a newer version
  kThrottled,    ///< refused for the rate, by the platform or by this host's
                 ///< own budget; it did not run
  kUnavailable,  ///< it did not run, or was a read without an answer
  kUnknown,      ///< a write whose answer was lost: it may yet take effect
  kRefused,      ///< the platform says that the call is wrong; it did not run
};

template <>
struct EnumTable<PlatformStatus> {
  static constexpr EnumName<PlatformStatus> kRows[] = {
      {PlatformStatus::kOk, "ok"},
      {PlatformStatus::kAbsent, "absent"},
      {PlatformStatus::kConflict, "conflict"},
      {PlatformStatus::kUnchanged, "unchanged"},
      {PlatformStatus::kThrottled, "throttled"},
      {PlatformStatus::kUnavailable, "unavailable"},
      {PlatformStatus::kUnknown, "unknown"},
      {PlatformStatus::kRefused, "refused"}};
};

/// @brief What must hold for a write to take effect.
enum class WriteWhen { kAlways, kAbsent, kVersion };

/// @brief The condition of a write.
struct WriteCondition {
  WriteWhen when = WriteWhen::kAlways;
  std::uint64_t version = 0;  ///< for kVersion

  /// @return a condition that holds when the object does not exist
  static WriteCondition IfAbsent() { return {WriteWhen::kAbsent, 0}; }
  /// @return a condition that holds at exactly this version
  static WriteCondition IfVersion(std::uint64_t version) {
    return {WriteWhen::kVersion, version};
  }
};

/// @brief One row of a listing.
struct ObjectEntry {
  std::string name;
  std::uint64_t version = 0;
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
struct PlatformResult {
  PlatformOp op;
  PlatformVerb verb = PlatformVerb::kGet;
  PlatformStatus status = PlatformStatus::kUnavailable;
  ObjectKey key;
  std::uint64_t version = 0;         ///< of the object, for kOk and kConflict
  std::string bytes;                 ///< of the object, for get and watch
  std::vector<ObjectEntry> objects;  ///< for list
  std::vector<ListedHost> hosts;     ///< for hosts
  Duration retry_after{0};  ///< when to ask again, for kThrottled/kUnavailable
};

/// @brief How the platform does, as seen by this host.
enum class PlatformMode {
  kNormal,
  kSlow,    ///< it answers, but takes long
  kOutage,  ///< several calls in a row had no answer; one call at a time probes
};

template <>
struct EnumTable<PlatformMode> {
  static constexpr EnumName<PlatformMode> kRows[] = {
      {PlatformMode::kNormal, "normal"},
      {PlatformMode::kSlow, "slow"},
      {PlatformMode::kOutage, "outage"}};
};

/// @brief What is known of the platform; lets a caller judge how old its
/// knowledge may be.
struct PlatformHealth {
  PlatformMode mode = PlatformMode::kNormal;
  bool ever_answered = false;
  Instant last_answer{};  ///< of the last call that was answered
  Duration latency{0};    ///< moving mean of answered calls, without watches
  std::uint32_t failures_in_a_row = 0;

  /// @return how long ago the platform last answered; Duration::max() when
  /// never
  Duration Staleness(Instant now) const {
    return this->ever_answered ? now - this->last_answer : Duration::max();
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
struct PlatformLimits {
  double reads_per_second = 2000.0;
  double writes_per_second = 300.0;
};

/// @brief Splits the platform's limits over the live hosts, keeping a part
/// free.
/// @param limits of the platform
/// @param live_hosts how many hosts share them; fewer than 6 counts as 6
/// @return one host's budget; the sum of all hosts' stays at 80% of the limits
CallBudget ShareOfLimits(const PlatformLimits& limits, std::size_t live_hosts);

/// @brief Calls counted since the client was made.
struct PlatformCounters {
  std::uint64_t reads = 0;              ///< calls sent: get, list, hosts
  std::uint64_t watches = 0;            ///< calls sent: watch
  std::uint64_t writes = 0;             ///< calls sent: put, delete
  std::uint64_t throttled = 0;          ///< answers 429
  std::uint64_t failures = 0;           ///< no answer, or 5xx
  std::uint64_t refused_by_budget = 0;  ///< ended without a call
};

}  // namespace limpetlink
