/// @file
/// @brief Input messages and resulting actions of the idempotency log.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/base.h"

namespace limpetlink {

/// @brief Number of one operation on the object API; never reused by a writer.
using LogOperationId = NumberId<struct LogOperationTag>;

/// @brief One header of a stored outcome.
struct StoredHeader {
  std::string name;
  std::string value;
};

/// @brief An upstream's response, stored for replay.
struct StoredOutcome {
  int status = 0;
  std::vector<StoredHeader> headers;  ///< headers to be replayed
  std::string body;
  bool body_stored = true;  ///< false: the body exceeded the maximum size
};

/// @brief Whether the caller may have sent the key before.
enum class ClaimAttempt {
  kMaybeRepeated,  ///< unknown; the log has to be read
  kFirst,          ///< the caller states that the key is new
};

// ---- Messages to the log ----

/// @brief Claims the key of a request that is ready for dispatch. The log
/// replies with DispatchClaim, ReplayOutcome or RefuseClaim.
struct ClaimKey {
  RequestId request;
  OrganisationId organisation;
  std::string key;          ///< the Idempotency-Key; only its digest is stored
  std::string body_digest;  ///< Sha256Hex of method, path and body
  Instant deadline = kNever;  ///< DispatchClaim is sent only before it
  ClaimAttempt attempt = ClaimAttempt::kMaybeRepeated;
};

/// @brief Cancels a claim before DispatchClaim because its caller left or was
/// already answered. The request will not be dispatched, and its key is freed
/// once that can be recorded.
struct AbandonClaim {
  RequestId request;
};

/// @brief Reports the upstream's response to a dispatched claim.
struct RecordOutcome {
  RequestId request;
  StoredOutcome outcome;
};

/// @brief Reports that a dispatched claim certainly did not run: the upstream
/// was not connected or said so. Frees the key.
struct RecordNotRun {
  RequestId request;
};

/// @brief Reports that it is unknown, and will stay so, whether a dispatched
/// claim ran. Requests with its key get the outcome `unknown` until the key
/// expires.
struct RecordUnknown {
  RequestId request;
};

/// @brief Result of an operation on the object API.
enum class LogOperationStatus {
  kCreated,      ///< create succeeded
  kExists,       ///< create: an object of this name exists
  kFound,        ///< read succeeded
  kAbsent,       ///< read or delete: there is no such object
  kListed,       ///< list succeeded
  kDeleted,      ///< delete succeeded
  kUnavailable,  ///< certainly without effect: not connected, or refused
  kLost,         ///< no response: a write may have taken effect, or may still
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

/// @brief Reports the result of an operation.
struct LogOperationResult {
  LogOperationId operation;
  LogOperationStatus status = LogOperationStatus::kLost;
  std::string bytes;               ///< object content, for kFound
  std::vector<std::string> names;  ///< full object names, for kListed
};

/// @brief Sets the host's wall clock; used only for the expiry of keys.
struct SetLogClock {
  std::int64_t unix_milliseconds = 0;
};

/// @brief Loads shards in advance, to save the first claim the wait.
struct LoadShards {
  std::vector<std::uint32_t> shards;  ///< shards to load; empty: all
};

/// @brief Runs the timers.
struct LogTick {};

/// @brief A message to the log.
using LogMessage = std::variant<ClaimKey, AbandonClaim, RecordOutcome,
                                RecordNotRun, RecordUnknown, LogOperationResult,
                                SetLogClock, LoadShards, LogTick>;

// ---- Actions of the log ----

/// @brief Create an object unless one of this name exists.
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

/// @brief List all object names with a prefix.
struct LogList {
  LogOperationId operation;
  std::string prefix;
};

/// @brief Delete an object; the log does not wait for the result.
struct LogDelete {
  LogOperationId operation;
  std::string name;
};

/// @brief The intent is persisted: send the request now, and never again.
struct DispatchClaim {
  RequestId request;
};

/// @brief Replay the stored outcome to the caller.
struct ReplayOutcome {
  RequestId request;
  StoredOutcome outcome;
};

/// @brief Respond to the caller with this problem; this request was not and
/// will not be sent.
struct RefuseClaim {
  RequestId request;
  Problem problem;
};

/// @brief The reported outcome of the request is persisted.
struct OutcomeRecorded {
  RequestId request;
};

/// @brief An action of the log.
using LogAction =
    std::variant<LogCreate, LogRead, LogList, LogDelete, DispatchClaim,
                 ReplayOutcome, RefuseClaim, OutcomeRecorded>;

/// @brief Actions, in the order in which they must be executed.
using LogActions = std::vector<LogAction>;

}  // namespace limpetlink
