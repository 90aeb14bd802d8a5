/// @file
/// @brief MetadataStoreClient: typed operations over HTTP calls that the host's
/// adapter executes.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/base.h"
#include "metadata_store/detail/dialect.h"
#include "metadata_store/detail/types.h"
#include "ports/ports.h"

namespace limpetlink {

/// @brief Configuration of a MetadataStoreClient.
struct MetadataStoreSettings {
  std::string url;  ///< "http://ip:port", without a trailing slash
  CallBudget budget;
  Duration call_timeout{std::chrono::seconds(2)};  ///< limit of one call
  Duration operation_timeout{
      std::chrono::seconds(5)};  ///< limit including retries
  Duration backoff_base{std::chrono::milliseconds(100)};
  Duration backoff_cap{std::chrono::seconds(4)};
  Duration slow_latency{std::chrono::milliseconds(500)};
  std::uint32_t outage_threshold = 4;  ///< consecutive failures
  std::uint32_t max_in_flight = 16;    ///< calls other than watches
  std::uint32_t max_watches = 4;
  Duration watch_margin{
      std::chrono::seconds(2)};  ///< added to a watch's wait time
  std::uint64_t seed = 1;
  StoreDialect dialect = ObjectApiDialect();
};

/// @brief Generates ids of HTTP calls, which must be unique within the host.
using NextCallId = std::function<CallId()>;

/// @brief Runs operations on the platform's objects. Every operation that is
/// not cancelled yields exactly one result, at its time limit at the latest.
///
/// Reads are retried within the operation's time limit, with exponential
/// backoff and jitter. A write is retried only when the previous call is known
/// not to have run (no connection, 429, 503); a write that may have run ends as
/// kUnknown. During an outage operations fail immediately with kUnavailable,
/// except for one call at a time that probes the platform.
/// @note Example:
/// @code
/// MetadataStoreClient client(settings, next_call_id);
/// const StoreOp op = client.Get(now, {"fleet", "today"});
/// for (Action& action : client.TakeActions()) { execute(action); }
/// client.OnHead(now, head);  // and OnChunk, OnDone, Tick
/// for (StoreResult& result : client.TakeResults()) { handle(result); }
/// @endcode
class MetadataStoreClient {
 public:
  /// @param settings URL, call budget, limits and timeouts
  /// @param next_call_id generates ids for HTTP calls
  MetadataStoreClient(MetadataStoreSettings settings, NextCallId next_call_id);

  /// @brief Reads an object.
  /// @return the operation; its status is kOk, kAbsent, kThrottled,
  /// kUnavailable or kRefused
  StoreOp Get(Instant now, const ObjectKey& key);

  /// @brief Writes an object of at most 1 MB.
  /// @return the operation; its status is any but kAbsent and kUnchanged
  StoreOp Put(Instant now, const ObjectKey& key, std::string bytes,
              WriteCondition condition);

  /// @brief Deletes an object; the status is kAbsent when it does not exist.
  StoreOp Delete(Instant now, const ObjectKey& key, WriteCondition condition);

  /// @brief Lists objects of a kind, ordered by name.
  /// @param kind kind of the objects
  /// @param prefix prefix of their names
  /// @param after exclusive lower bound of the names
  /// @param limit maximum number of rows
  StoreOp List(Instant now, const std::string& kind, const std::string& prefix,
               const std::string& after, std::uint32_t limit);

  /// @brief Waits for a version newer than the given one. A watch is a single
  /// call and is never retried.
  /// @param version the last known version
  /// @param wait how long the platform may hold the call
  /// @return the operation; its status is kOk, kUnchanged, kAbsent, kThrottled,
  /// kUnavailable or kRefused
  StoreOp Watch(Instant now, const ObjectKey& key, std::uint64_t version,
                Duration wait);

  /// @brief Lists one page of the objects of a kind, with their contents. Never
  /// retried.
  /// @param kind kind of the objects
  /// @param after exclusive lower bound of the names
  /// @param allow_stale accepts a response that may be seconds old, which is
  /// cheaper for the store
  StoreOp ListRecords(Instant now, const std::string& kind,
                      const std::string& after, bool allow_stale = false);

  /// @brief Waits for changes of any object of a kind. Never retried.
  /// @param revision reports changes after this revision
  /// @param wait how long the store may hold the call
  /// @param allow_stale accepts a response that may be seconds old, which is
  /// cheaper for the store
  /// @return the operation; its status is kOk with zero or more records,
  /// kHistoryGone, kThrottled, kUnavailable or kRefused
  StoreOp WatchKind(Instant now, const std::string& kind,
                    std::uint64_t revision, Duration wait,
                    bool allow_stale = false);

  /// @brief Reads the host list.
  StoreOp Hosts(Instant now);

  /// @brief Cancels an operation, which then yields no result. A cancelled
  /// write may still take effect.
  void Cancel(StoreOp op);

  /// @brief Handles the head of a response.
  /// @return whether the call belongs to this client
  bool OnHead(Instant now, const HttpHead& head);
  /// @brief Handles a chunk of a response body.
  /// @return whether the call belongs to this client
  bool OnChunk(Instant now, const HttpChunk& chunk);
  /// @brief Handles the end of a call.
  /// @return whether the call belongs to this client
  bool OnDone(Instant now, const HttpDone& done);

  /// @brief Starts queued calls that have become ready and ends calls and
  /// operations whose deadline has passed.
  void Tick(Instant now);

  /// @return the latest time for the next Tick
  Instant NextWakeup() const;

  /// @brief Moves out the HTTP actions emitted since the previous call.
  Actions TakeActions();

  /// @brief Moves out the results completed since the previous call.
  std::vector<StoreResult> TakeResults();

  /// @brief Replaces the call budget, for example when the number of live
  /// hosts changes.
  void SetBudget(Instant now, const CallBudget& budget);

  /// @return the observed health of the platform
  const StoreHealth& Health() const { return this->health; }

  /// @return call counters since construction
  const StoreCounters& Counters() const { return this->counters; }

 private:
  /// @brief Token bucket that limits the rate of calls.
  struct TokenBucket {
    double rate = 0;
    double burst = 0;
    double tokens = 0;
    Instant refilled_at{};

    void Refill(Instant now);
    Instant ReadyAt() const;
  };

  /// @brief An operation that has not completed.
  struct Pending {
    StoreResult result;
    StoreRequest request;
    std::string body;
    WriteCondition condition;
    Instant deadline{};
    Instant not_before{};
    Instant call_deadline = kNever;
    Instant started{};
    std::uint32_t attempts = 0;
    CallId call;
    StoreResponse response;
  };

  StoreOp Add(Instant now, StoreRequest request);
  StoreOp Add(Instant now, Pending pending);
  void StartReadyCalls(Instant now);
  bool TryStart(Instant now, std::uint64_t op, Pending* pending);
  void Start(Instant now, std::uint64_t op, Pending* pending);
  void FinishCall(Instant now, std::uint64_t op, HttpEnd end);
  void HandleResponse(Instant now, std::uint64_t op, Pending* pending);
  void HandleCallFailure(Instant now, std::uint64_t op, HttpEnd end);
  void RetryOrEnd(Instant now, std::uint64_t op, StoreStatus status,
                  Duration wait);
  void Complete(std::uint64_t op, StoreStatus status, Duration retry_after);
  void RecordResponse(Instant now, const Pending& pending);
  void RecordFailure(Instant now);
  void ExpireTimedOut(Instant now);
  void FailQueuedDuringOutage(Instant now);
  TokenBucket* BucketFor(StoreVerb verb);
  Duration Backoff(std::uint32_t attempts);
  std::uint32_t InFlight(bool watches) const;

  MetadataStoreSettings settings;
  NextCallId next_call_id;
  Random random;
  TokenBucket reads;
  TokenBucket writes;
  std::map<std::uint64_t, Pending> pending;
  std::map<std::uint64_t, std::uint64_t> op_by_call;
  std::uint64_t next_op = 1;
  Instant throttled_until{};
  Instant next_probe{};
  StoreHealth health;
  StoreCounters counters;
  Actions actions;
  std::vector<StoreResult> results;
};

}  // namespace limpetlink
