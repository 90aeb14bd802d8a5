/// @file
/// @brief What the idempotency log is told and what it decides.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/base.h"

namespace limpetlink {

/// @brief One operation on the object API; each has its own number.
using LogOperationId = NumberId<struct LogOperationTag>;

/// @brief One header of a kept outcome.
struct StoredHeader {
  std::string name;
  std::string value;
};

/// @brief An upstream's answer, kept to be given again.
struct StoredOutcome {
  int status = 0;
  std::vector<StoredHeader> headers;  ///< those worth giving again
  std::string body;
  bool body_stored = true;  ///< false: the body was beyond the bound
};

/// @brief Whether the caller may have sent the key before.
enum class ClaimAttempt {
  kMaybeRepeated,  ///< nothing is known: only the log can tell
  kFirst,          ///< the caller declares that it never sent the key before
};

// ---- What the log is told ----

/// @brief A keyed request wants to be dispatched. The answer is one of
/// DispatchClaim, ReplayOutcome or RefuseClaim.
struct ClaimKey {
  RequestId request;
  OrganisationId organisation;
  std::string key;            ///< the Idempotency-Key; kept only as a digest
  std::string body_digest;    ///< Sha256Hex over method, path and body
  Instant deadline = kNever;  ///< DispatchClaim never comes at or after it
  ClaimAttempt attempt = ClaimAttempt::kMaybeRepeated;
};

/// @brief The claim's caller left or was answered before DispatchClaim; it will
/// not be dispatched, and its key is set free once that can be recorded.
struct AbandonClaim {
  RequestId request;
};

/// @brief The upstream answered a dispatched claim.
struct RecordOutcome {
  RequestId request;
  StoredOutcome outcome;
};

/// @brief A dispatched claim certainly did not run: not connected, or the
/// upstream said so. Its key is set free.
struct RecordNotRun {
  RequestId request;
};

/// @brief Nobody will ever know whether a dispatched claim ran; its key answers
/// `unknown` until it expires.
struct RecordUnknown {
  RequestId request;
};

/// @brief How an operation on the object API ended.
enum class LogOperationStatus {
  kCreated,      ///< of a create
  kExists,       ///< of a create: the name is taken
  kFound,        ///< of a read
  kAbsent,       ///< of a read or a delete
  kListed,       ///< of a list
  kDeleted,      ///< of a delete
  kUnavailable,  ///< certainly without effect: not connected, or refused
  kLost,         ///< no answer: a write may have taken effect, or may yet
};

template <>
struct EnumTable<LogOperationStatus> {
  static constexpr EnumName<LogOperationStatus> kRows[] = {
      {LogOperationStatus::kCreated, "created"},
      {LogOperationStatus::kExists, "exists"},
      {LogOperationStatus::kFound, "found"},
      {LogOperationStatus::kAbsent, "absent"},
      {LogOperationStatus::kListed, "listed"},
      {LogOperationStatus::kDeleted, "deleted"},
      {LogOperationStatus::kUnavailable, "unavailable"},
      {LogOperationStatus::kLost, "lost"}};
};

/// @brief An operation ended.
struct LogOperationResult {
  LogOperationId operation;
  LogOperationStatus status = LogOperationStatus::kLost;
  std::string bytes;               ///< of kFound
  std::vector<std::string> names;  ///< of kListed: whole names
};

/// @brief The host's wall clock, for the expiry of keys only.
struct SetLogClock {
  std::int64_t unix_milliseconds = 0;
};

/// @brief Read these shards now, so that the first claim does not wait for it.
struct LoadShards {
  std::vector<std::uint32_t> shards;  ///< empty: all
};

/// @brief Only time has passed.
struct LogTick {};

/// @brief What the log may be told.
using LogMessage = std::variant<ClaimKey, AbandonClaim, RecordOutcome,
                                RecordNotRun, RecordUnknown, LogOperationResult,
                                SetLogClock, LoadShards, LogTick>;

// ---- What the log decides ----

/// @brief Create an object if there is none of that name.
struct LogCreate {
  LogOperationId operation;
  std::string name;
  std::string bytes;
};

/// @brief Read an object.
struct LogRead {
  LogOperationId operation;
  std::string name;
};

/// @brief List the names that start with a prefix.
struct LogList {
  LogOperationId operation;
  std::string prefix;
};

/// @brief Delete an object; the result is not waited for.
struct LogDelete {
  LogOperationId operation;
  std::string name;
};

/// @brief The intent is durable: send the request once, now, and never again.
struct DispatchClaim {
  RequestId request;
};

/// @brief Give the kept outcome again.
struct ReplayOutcome {
  RequestId request;
  StoredOutcome outcome;
};

/// @brief Answer the caller with this problem; nothing was or will be sent for
/// this request.
struct RefuseClaim {
  RequestId request;
  Problem problem;
};

/// @brief What was reported of the request is durable.
struct OutcomeRecorded {
  RequestId request;
};

/// @brief What the log may decide.
using LogAction =
    std::variant<LogCreate, LogRead, LogList, LogDelete, DispatchClaim,
                 ReplayOutcome, RefuseClaim, OutcomeRecorded>;

/// @brief Decisions in the sequence in which they are to be carried out.
using LogActions = std::vector<LogAction>;

}  // namespace limpetlink
