/// @file
/// @brief The table of requests in progress.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/base.h"
#include "requests/detail/request_row.h"

namespace limpetlink {

/// @brief Options of a request table.
struct RequestTableOptions {
  /// Interval between comments to the caller of a waiting stream.
  Duration notice_interval{std::chrono::seconds(5)};
};

/// @brief A request to be admitted.
struct NewRequest {
  RequestId id;
  OrganisationId organisation;
  std::string summary;
  Instant deadline = kNever;
  std::string trace_id;
  bool streaming = false;
};

/// @brief Result of RequestTable::Admit.
enum class AdmitResult {
  kAdmitted,
  kDeadlinePast,  ///< respond with request.108
  kNoDeadline,    ///< every request needs a deadline
  kDuplicateId,   ///< the id is or was in the table
};

/// @brief Result of RequestTable::Finish: whether to send the response.
enum class FinishResult {
  kSend,             ///< first final response: send it
  kCallerLeft,       ///< the caller disconnected: do not send
  kAlreadyAnswered,  ///< duplicate response: do not send
  kNeverAdmitted,    ///< unknown request: do not send
};

template <>
struct EnumTable<FinishResult> {
  static constexpr EnumName<FinishResult> kRows[] = {
      {FinishResult::kSend, "send"},
      {FinishResult::kCallerLeft, "caller_left"},
      {FinishResult::kAlreadyAnswered, "already_answered"},
      {FinishResult::kNeverAdmitted, "never_admitted"}};
};

/// @brief Queue position to be sent, as a comment, to the caller of a waiting
/// stream.
struct WaitNotice {
  RequestId id;
  std::uint32_t position = 0;
  Duration expected_wait{0};
  std::string reason;
};

/// @brief Counters of a request table.
struct RequestCounts {
  std::uint64_t admitted = 0;
  std::uint64_t answered = 0;
  std::uint64_t expired = 0;
  std::uint64_t duplicate_responses = 0;  ///< refused by Finish
  std::uint64_t unsent_responses = 0;     ///< their callers had left
};

/// @brief Tracks each request from its arrival to its single final response.
/// @note Ids must increase: an id that is not in the table, but at most the
/// highest admitted id, belongs to a request that was answered.
/// @note Example:
/// @code
/// table.Admit(now, {id, organisation, "POST /v1/completions", deadline});
/// table.SetWaiting(now, id, 3, expected, "queue of tasting-model");
/// for (RequestId id : table.Expire(now)) {
///   if (table.Finish(id) == FinishResult::kSend) { ... }  // respond with 504
/// }
/// @endcode
class RequestTable {
 public:
  /// @param options interval of the comments
  explicit RequestTable(RequestTableOptions options = {});

  /// @brief Adds a request to the table.
  /// @note Complexity: logarithmic in the requests in progress, like all other
  /// operations unless noted otherwise.
  AdmitResult Admit(Instant now, NewRequest request);

  /// @brief Marks a request as waiting.
  /// @param position position in its queue, from 1; 0 if unknown
  /// @return false if the request is not in progress
  bool SetWaiting(Instant now, RequestId id, std::uint32_t position,
                  Duration expected_wait, std::string reason);
  /// @brief Marks a request whose intent or outcome is being persisted.
  /// @return false if the request is not in progress
  bool SetRecording(Instant now, RequestId id, std::string reason);
  /// @brief Marks a request as running at an upstream.
  /// @param upstream name of the upstream, for display
  /// @return false if the request is not in progress
  bool SetRunning(Instant now, RequestId id, std::string upstream);

  /// @brief Marks a request whose caller left while the work continues. Call
  /// Finish when the work ends.
  /// @return false if the request is not in progress
  bool SetCallerLeft(RequestId id);

  /// @brief Removes a request from the table.
  /// @return whether its final response may be sent
  FinishResult Finish(RequestId id);

  /// @brief Returns the requests whose deadline is reached, each one once.
  /// @return ids in the order of their deadlines; the requests remain in the
  /// table, marked as overdue, until Finish
  std::vector<RequestId> Expire(Instant now);

  /// @brief Returns the comments that are due to callers of waiting streams,
  /// and schedules the next ones.
  std::vector<WaitNotice> DueNotices(Instant now);

  /// @return time at which Expire or DueNotices next has a result; constant
  /// time
  Instant NextWakeup() const;
  /// @return the earliest deadline that Expire has not reported; constant time
  Instant NextDeadline() const;

  /// @brief Lists requests, oldest first.
  /// @param organisation lists only its requests; nullopt lists all, for an
  /// operator
  /// @note Complexity: linear in the requests in progress.
  std::vector<RequestRow> List(
      const std::optional<OrganisationId>& organisation) const;

  /// @return the row, or nullptr if the request is not in progress
  const RequestRow* Find(RequestId id) const;
  /// @return the number of requests in progress
  std::size_t Size() const { return this->entries.size(); }
  /// @return the counters so far
  const RequestCounts& Counts() const { return this->counts; }

 private:
  struct Entry {
    RequestRow row;
    Instant next_notice = kNever;
  };
  using Timer = std::pair<Instant, RequestId>;

  Entry* SetState(Instant now, RequestId id, RequestState state,
                  std::string reason);
  void ScheduleNotice(Entry& entry, Instant at);

  RequestTableOptions options;
  std::map<RequestId, Entry> entries;
  std::set<Timer> deadlines;
  std::set<Timer> notices;
  RequestId highest_id;
  RequestCounts counts;
};

}  // namespace limpetlink
