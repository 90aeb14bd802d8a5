/// @file
/// @brief PlacementController: reconciles engines with the fleet document.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/base.h"
#include "fleet/fleet.h"
#include "leases/leases.h"
#include "metadata_store/metadata_store.h"
#include "placement/detail/engine.h"
#include "ports/ports.h"

namespace limpetlink {

/// @brief Derives an engine's desired state from the fleet document.
using DesiredStateFunction =
    std::function<EngineState(const FleetDocument&, const Upstream&)>;

/// @brief The default desired state: version and adapters of the engine's
/// model, role "serve".
EngineState DesiredStateForModel(const FleetDocument& document,
                                 const Upstream& upstream);

/// @brief Configuration of a PlacementController.
struct PlacementSettings {
  std::string platform_url;         ///< of the weight store, "http://ip:port"
  std::string model;                ///< only engines of this model; empty: all
  double reports_per_second = 4.0;  ///< rate limit; engines are polled in turn
  /// Minimum time between two reports of the same engine.
  Duration report_interval{std::chrono::seconds(3)};
  Duration call_timeout{std::chrono::seconds(5)};
  /// A command that is not verified within this time is sent again.
  Duration command_timeout{std::chrono::minutes(10)};
  /// Longest assumed delay between sending a command and its arrival.
  Duration max_command_delay{std::chrono::seconds(30)};
  double loads_per_second = 0.5;  ///< commands that read the weight store
  double load_burst = 2.0;
  /// Fraction of a model's engines that may load at the same time; at least one
  /// engine may.
  double max_loading_fraction = 0.25;
  Duration weights_cache_lifetime{std::chrono::seconds(60)};
  std::uint64_t seed = 1;
};

/// @brief Counters since construction.
struct PlacementCounters {
  std::uint64_t reports = 0;
  std::uint64_t malformed_reports = 0;
  std::uint64_t commands = 0;
  std::uint64_t accepted = 0;
  std::uint64_t fenced = 0;          ///< rejected with a higher fencing number
  std::uint64_t lost_responses = 0;  ///< commands whose response was lost
  std::uint64_t verified = 0;        ///< desired state reported after a command
  std::uint64_t weights_throttled = 0;
  std::uint64_t weights_absent = 0;
};

/// @brief Sends commands to engines while the lease is held.
/// @note Example:
/// @code
/// PlacementController controller(settings, DesiredStateForModel, &lease,
///                                next_call_id);
/// controller.Configure(now, document);
/// controller.Tick(now);  // by NextWakeup(); also OnHead, OnChunk, OnDone
/// for (Action& action : controller.TakeActions()) { execute(action); }
/// @endcode
class PlacementController {
 public:
  /// @param settings URLs, rates and timeouts
  /// @param desired derives an engine's desired state
  /// @param lease must outlive the controller and is advanced by its owner
  /// @param next_call_id generates ids for HTTP calls
  PlacementController(PlacementSettings settings, DesiredStateFunction desired,
                      Lease* lease, NextCallId next_call_id);

  /// @brief Applies the active fleet document. Commands in flight continue.
  void Configure(Instant now, std::shared_ptr<const FleetDocument> document);

  /// @brief Handles an event of an HTTP call.
  /// @return whether the call belongs to the controller
  bool OnHead(Instant now, const HttpHead& head);
  bool OnChunk(Instant now, const HttpChunk& chunk);
  bool OnDone(Instant now, const HttpDone& done);

  /// @brief Expires overdue calls; while the lease is held, reads reports and
  /// sends commands.
  void Tick(Instant now);

  /// @return the latest time for the next Tick
  Instant NextWakeup() const;

  /// @brief Moves out the HTTP actions emitted since the previous call.
  Actions TakeActions();

  /// @return whether the last report of every engine shows its desired state
  bool Converged() const;

  /// @return counters since construction
  const PlacementCounters& Counters() const { return this->counters; }

 private:
  enum class CallKind { kReport, kCommand, kWeights };
  enum class Weights { kUnknown, kPresent, kAbsent };

  struct Engine {
    Upstream upstream;
    EngineState desired;
    bool known = false;
    EngineStateReport report;
    Instant next_report{};
    std::uint64_t call = 0;            ///< in flight; 0: none
    Instant command_sent_at = kNever;  ///< kNever: no pending command
    std::string command_id;
    Instant not_before{};
    std::uint32_t failures = 0;
  };
  struct WeightsCacheEntry {
    Weights state = Weights::kUnknown;
    Instant until{};
    std::uint64_t call = 0;
  };
  struct ModelCount {
    std::size_t engines = 0;
    std::size_t loading = 0;
  };
  struct Call {
    CallKind kind = CallKind::kReport;
    UpstreamId engine;
    std::string weights;
    int status = 0;
    Headers headers;
    std::string body;
    Instant until = kNever;
  };

  void Reset(Instant now);
  void ReadReports(Instant now);
  void SendCommands(Instant now);
  bool MaySendCommand(Instant now, const Engine& engine,
                      const ModelCount& count) const;
  bool CheckWeights(Instant now, const Engine& engine);
  bool NeedsWeights(const Engine& engine) const;
  void SendCommand(Instant now, Engine* engine);
  std::uint64_t Open(Instant now, Call call, HttpCall http);
  void FinishCall(Instant now, std::uint64_t id, bool completed);
  void HandleReport(Instant now, const Call& call, bool completed);
  void HandleCommandResult(Instant now, const Call& call, bool completed);
  void HandleWeights(Instant now, const Call& call, bool completed);
  void ScheduleRetry(Instant now, Engine* engine);
  void Refill(Instant now);

  PlacementSettings settings;
  DesiredStateFunction desired;
  Lease* lease;
  NextCallId next_call_id;
  Random random;
  std::shared_ptr<const FleetDocument> document;
  std::map<UpstreamId, Engine> engines;
  std::map<std::string, WeightsCacheEntry> weights;
  std::map<std::uint64_t, Call> calls;
  UpstreamId report_cursor;
  double report_tokens = 1;
  double load_tokens = 0;
  Instant refilled_at{};
  Instant weights_not_before{};
  Instant next_tick{};
  std::uint64_t epoch = 0;  ///< lease epoch that the call state belongs to
  std::uint64_t next_command = 1;
  PlacementCounters counters;
  Actions actions;
};

}  // namespace limpetlink
