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

/// @brief How a request table behaves.
struct RequestTableOptions {
  Duration notice_interval{std::chrono::seconds(5)};  ///< of waiting streams
};

/// @brief A request as it arrives.
struct NewRequest {
  RequestId id;
  OrganisationId organisation;
  std::string summary;
  Instant deadline = kNever;
  std::string trace_id;
  bool streaming = false;
};

/// @brief What became of an admission to the table.
enum class AdmitResult {
  kAdmitted,
  kDeadlinePast,  ///< answer request.108
  kNoDeadline,    ///< a request without a deadline is never taken in
  kDuplicateId,   ///< the id is or was in the table
};

/// @brief What is to be done with a final answer.
enum class FinishResult {
  kSend,             ///< the first and only: send it
  kCallerLeft,       ///< nobody is there: do not send
  kAlreadyAnswered,  ///< a second one: do not send
  kNeverAdmitted,    ///< no such request: do not send
};

template <>
struct EnumTable<FinishResult> {
  static constexpr EnumName<FinishResult> kRows[] = {
      {FinishResult::kSend, "send"},
      {FinishResult::kCallerLeft, "caller_left"},
      {FinishResult::kAlreadyAnswered, "already_answered"},
      {FinishResult::kNeverAdmitted, "never_admitted"}};
};

/// @brief A waiting stream's caller is due a comment with its position.
struct WaitNotice {
  RequestId id;
  std::uint32_t position = 0;
  Duration expected_wait{0};
  std::string reason;
};

/// @brief What the table has seen.
struct RequestCounts {
  std::uint64_t admitted = 0;
  std::uint64_t answered = 0;
  std::uint64_t expired = 0;
  std::uint64_t duplicate_responses = 0;  ///< refused by Finish
  std::uint64_t unsent_responses = 0;     ///< their caller had left
};

/// @brief Every request from its arrival to its one final answer.
/// @note Ids grow: an id at or below the highest admitted that is not in the
/// table was answered.
/// @note Example:
/// @code
/// table.Admit(now, {id, organisation, "POST /v1/completions", deadline});
/// table.SetWaiting(now, id, 3, expected, "queue of tasting-model");
/// for (RequestId late : table.Expire(now)) { answer 504 if Finish says kSend }
/// @endcode
class RequestTable {
 public:
  /// @param options notice interval
  explicit RequestTable(RequestTableOptions options = {});

  /// @brief Takes a request in. Logarithmic in the requests in progress, as is
  /// every operation below unless said otherwise.
  AdmitResult Admit(Instant now, NewRequest request);

  /// @brief The request waits.
  /// @param position 1 is next; 0: not known
  /// @return false when the request is not in progress
  bool SetWaiting(Instant now, RequestId id, std::uint32_t position,
                  Duration expected_wait, std::string reason);
  /// @brief The request's intent or outcome is being made durable.
  bool SetRecording(Instant now, RequestId id, std::string reason);
  /// @brief The request is at an upstream.
  /// @param where the upstream, for a person
  bool SetRunning(Instant now, RequestId id, std::string where);

  /// @brief The caller left while work goes on; call Finish when it ends.
  bool SetCallerLeft(RequestId id);

  /// @brief Asks whether the final answer may be sent; the request leaves the
  /// table.
  FinishResult Finish(RequestId id);

  /// @brief Names the requests whose deadline is reached, each once.
  /// @return ids in the order of their deadlines; they stay in the table, as
  /// overdue, until Finish
  std::vector<RequestId> Expire(Instant now);

  /// @brief Names the waiting streams that are due a comment.
  std::vector<WaitNotice> DueNotices(Instant now);

  /// @return when Expire or DueNotices has something to say; constant time
  Instant NextWakeup() const;
  /// @return the earliest deadline not yet told; constant time
  Instant NextDeadline() const;

  /// @brief Lists requests, oldest first.
  /// @param organisation only its own; nothing: all, for an operator
  /// @note Complexity: linear in the requests in progress.
  std::vector<RequestRow> List(
      const std::optional<OrganisationId>& organisation) const;

  /// @return the row, or nullptr when not in progress
  const RequestRow* Find(RequestId id) const;
  /// @return requests in progress
  std::size_t Size() const { return this->entries.size(); }
  /// @return what was seen so far
  const RequestCounts& Counts() const { return this->counts; }

 private:
  struct Entry {
    RequestRow row;
    Instant next_notice = kNever;
  };
  using Timer = std::pair<Instant, RequestId>;

  Entry* Move(Instant now, RequestId id, RequestState state,
              std::string reason);
  void SetNotice(Entry& entry, Instant at);

  RequestTableOptions options;
  std::map<RequestId, Entry> entries;
  std::set<Timer> deadlines;
  std::set<Timer> notices;
  RequestId highest;
  RequestCounts counts;
};

}  // namespace limpetlink
