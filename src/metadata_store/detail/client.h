/// @file
/// @brief MetadataStoreClient: typed operations over HTTP calls that the host's
/// adapter carries.
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

/// @brief What a client is built with.
struct MetadataStoreSettings {
  std::string url;  ///< "http://ip:port", without a slash at the end
  CallBudget budget;
  Duration call_timeout{std::chrono::seconds(2)};       ///< of one call
  Duration operation_timeout{std::chrono::seconds(5)};  ///< with all its calls
  Duration backoff_base{std::chrono::milliseconds(100)};
  Duration backoff_cap{std::chrono::seconds(4)};
  Duration slow_latency{std::chrono::milliseconds(500)};
  std::uint32_t outage_threshold = 4;  ///< in a row
  std::uint32_t max_in_flight = 16;    ///< calls, without watches
  std::uint32_t max_watches = 4;
  Duration watch_margin{
      std::chrono::seconds(2)};  ///< beyond a watch's own wait
  std::uint64_t seed = 1;
  StoreDialect dialect = ObjectApiDialect();
};

/// @brief Makes the ids of HTTP calls; must be unique within the host.
using NextCallId = std::function<CallId()>;

/// @brief Operations on the platform's objects; every operation ends with one
/// result, by its time limit at the latest.
///
/// Reads are repeated within the operation's time limit, with backoff and
/// jitter. A write is repeated only when the call before it surely did not run
/// (no connection, 429, 503); a write that may have run ends as kUnknown.
/// In an outage everything ends at once with kUnavailable, but for one call
/// that probes.
/// @note Example:
/// @code
/// MetadataStoreClient client(settings, next_call_id);
/// const StoreOp op = client.Get(now, {"fleet", "today"});
/// for (Action& action : client.TakeActions()) { carry_out(action); }
/// client.OnHead(now, head);  // and OnChunk, OnDone, Tick
/// for (StoreResult& result : client.TakeResults()) { route(result); }
/// @endcode
class MetadataStoreClient {
 public:
  /// @param settings limits and times
  /// @param next_call_id makes ids for HTTP calls
  MetadataStoreClient(MetadataStoreSettings settings, NextCallId next_call_id);

  /// @brief Reads an object: kOk, kAbsent, kThrottled or kUnavailable.
  StoreOp Get(Instant now, const ObjectKey& key);

  /// @brief Writes an object, at most 1 MB.
  /// @return its operation; ends as any status but kAbsent and kUnchanged
  StoreOp Put(Instant now, const ObjectKey& key, std::string bytes,
              WriteCondition condition);

  /// @brief Deletes an object; kAbsent when there is none.
  StoreOp Delete(Instant now, const ObjectKey& key, WriteCondition condition);

  /// @brief Lists objects of a kind in the order of their names.
  /// @param kind of objects
  /// @param prefix of their names
  /// @param after only names above this one
  /// @param limit most rows wanted
  StoreOp List(Instant now, const std::string& kind, const std::string& prefix,
               const std::string& after, std::uint32_t limit);

  /// @brief Waits for a version above the known one: kOk, kUnchanged, kAbsent,
  /// kThrottled or kUnavailable. A watch is one call and is never repeated.
  /// @param wait how long the platform holds the call at most
  StoreOp Watch(Instant now, const ObjectKey& key, std::uint64_t version,
                Duration wait);

  /// @brief Lists objects of a kind with their contents, in pages.
  /// @param kind of objects
  /// @param after only names above this one
  StoreOp ListRecords(Instant now, const std::string& kind,
                      const std::string& after);

  /// @brief Waits for changes of any object of a kind: kOk with none or some
  /// records, kHistoryGone, kThrottled or kUnavailable. Never repeated.
  /// @param revision changes above it are wanted
  /// @param wait how long the store holds the call at most
  /// @param allow_stale the answer may be seconds old and costs less
  StoreOp WatchKind(Instant now, const std::string& kind,
                    std::uint64_t revision, Duration wait,
                    bool allow_stale = false);

  /// @brief Reads the host list.
  StoreOp Hosts(Instant now);

  /// @brief Gives an operation up; no result of it follows. A write may take
  /// effect all the same.
  void Cancel(StoreOp op);

  /// @brief Takes the head of an answer.
  /// @return whether the call is one of this client's
  bool OnHead(Instant now, const HttpHead& head);
  /// @brief Takes bytes of an answer.
  /// @return whether the call is one of this client's
  bool OnChunk(Instant now, const HttpChunk& chunk);
  /// @brief Takes the end of a call.
  /// @return whether the call is one of this client's
  bool OnDone(Instant now, const HttpDone& done);

  /// @brief Lets time pass: starts calls that waited, ends those past their
  /// limit.
  void Tick(Instant now);

  /// @return when Tick is due at the latest
  Instant NextWakeup() const;

  /// @brief Hands over the HTTP orders made since the last take.
  Actions TakeActions();

  /// @brief Hands over the results since the last take.
  std::vector<StoreResult> TakeResults();

  /// @brief Changes the budget, as when the number of live hosts changes.
  void SetBudget(Instant now, const CallBudget& budget);

  /// @return what is known of the platform
  const StoreHealth& Health() const { return this->health; }

  /// @return calls counted since the start
  const StoreCounters& Counters() const { return this->counters; }

 private:
  /// @brief Calls allowed now, refilled at a rate.
  struct Bucket {
    double rate = 0;
    double burst = 0;
    double tokens = 0;
    Instant at{};

    void Refill(Instant now);
    Instant ReadyAt() const;
  };

  /// @brief An operation that has not ended.
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
    StoreResponse answer;
  };

  StoreOp Add(Instant now, StoreRequest request);
  StoreOp Add(Instant now, Pending pending);
  void Pump(Instant now);
  bool TryStart(Instant now, std::uint64_t op, Pending* pending);
  void Start(Instant now, std::uint64_t op, Pending* pending);
  void FinishCall(Instant now, std::uint64_t op, HttpEnd end);
  void HandleAnswer(Instant now, std::uint64_t op, Pending* pending);
  void HandleNoAnswer(Instant now, std::uint64_t op, HttpEnd end);
  void RetryOrEnd(Instant now, std::uint64_t op, StoreStatus status,
                  Duration wait);
  void End(std::uint64_t op, StoreStatus status, Duration retry_after);
  void NoteAnswered(Instant now, const Pending& pending);
  void NoteFailure(Instant now);
  void ExpireAt(Instant now);
  void EndQueuedInOutage(Instant now);
  Bucket* BucketOf(StoreVerb verb);
  Duration Backoff(std::uint32_t attempts);
  std::uint32_t InFlight(bool watches) const;

  MetadataStoreSettings settings;
  NextCallId next_call_id;
  Random random;
  Bucket reads;
  Bucket writes;
  std::map<std::uint64_t, Pending> pending;
  std::map<std::uint64_t, std::uint64_t> op_of_call;
  std::uint64_t next_op = 1;
  Instant throttled_until{};
  Instant next_probe{};
  StoreHealth health;
  StoreCounters counters;
  Actions actions;
  std::vector<StoreResult> results;
};

}  // namespace limpetlink
