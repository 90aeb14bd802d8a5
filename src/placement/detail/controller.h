/// @file
/// @brief PlacementController: reconciles engines to the fleet document.
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

/// @brief Says what a document wants of an engine.
using WantedState =
    std::function<EngineState(const FleetDocument&, const Upstream&)>;

/// @brief The usual wanted state: version and adapters of the engine's model,
/// role "serve".
EngineState WantedOfModel(const FleetDocument& document,
                          const Upstream& upstream);

/// @brief What a controller is built with.
struct PlacementSettings {
  std::string platform_url;         ///< of the weight store, "http://ip:port"
  std::string model;                ///< only engines of this model; empty: all
  double reports_per_second = 4.0;  ///< read from engines in turn
  Duration report_every{std::chrono::seconds(3)};  ///< least time between two
                                                   ///< reads of one engine
  Duration call_timeout{std::chrono::seconds(5)};
  Duration order_timeout{std::chrono::minutes(10)};  ///< an order not verified
                                                     ///< by then is given again
  Duration longest_order{std::chrono::seconds(30)};  ///< an order given is
                                                     ///< taken to arrive within
  double loads_per_second = 0.5;  ///< orders that read the weight store
  double load_burst = 2.0;
  double most_loading = 0.25;  ///< share of a model's engines at once; at least
                               ///< one engine
  Duration weights_known_for{std::chrono::seconds(60)};
  std::uint64_t seed = 1;
};

/// @brief Counted since the start.
struct PlacementCounters {
  std::uint64_t reports = 0;
  std::uint64_t malformed_reports = 0;
  std::uint64_t orders = 0;
  std::uint64_t accepted = 0;
  std::uint64_t fenced = 0;      ///< refused with a higher number
  std::uint64_t unanswered = 0;  ///< orders whose answer was lost
  std::uint64_t verified = 0;    ///< wanted state seen after an order
  std::uint64_t weights_throttled = 0;
  std::uint64_t weights_absent = 0;
};

/// @brief Gives orders to engines while the lease is held.
/// @note Example:
/// @code
/// PlacementController controller(settings, WantedOfModel, &lease, next_call);
/// controller.Configure(now, document);
/// controller.Tick(now);  // by NextWakeup(); and OnHead, OnChunk, OnDone
/// for (Action& action : controller.TakeActions()) { carry_out(action); }
/// @endcode
class PlacementController {
 public:
  /// @param wanted derives an engine's wanted state
  /// @param lease outlives the controller; its holder steps it
  /// @param next_call_id makes ids for HTTP calls
  PlacementController(PlacementSettings settings, WantedState wanted,
                      Lease* lease, NextCallId next_call_id);

  /// @brief Takes a document that is in force. Orders out go on.
  void Configure(Instant now, std::shared_ptr<const FleetDocument> document);

  /// @brief Takes an event of a call.
  /// @return whether the call is one of the controller's
  bool OnHead(Instant now, const HttpHead& head);
  bool OnChunk(Instant now, const HttpChunk& chunk);
  bool OnDone(Instant now, const HttpDone& done);

  /// @brief Lets time pass.
  void Tick(Instant now);

  /// @return when Tick is due at the latest
  Instant NextWakeup() const;

  /// @brief Hands over the HTTP orders since the last take.
  Actions TakeActions();

  /// @return whether every engine last reported its wanted state
  bool Settled() const;

  /// @return counted since the start
  const PlacementCounters& Counters() const { return this->counters; }

 private:
  enum class CallKind { kReport, kOrder, kWeights };
  enum class Weights { kUnknown, kThere, kAbsent };

  struct Engine {
    Upstream upstream;
    EngineState wanted;
    bool known = false;
    EngineReport report;
    Instant next_report{};
    std::uint64_t call = 0;       ///< open; 0: none
    Instant ordered_at = kNever;  ///< an order is out; kNever: none
    std::string order_id;
    Instant not_before{};
    std::uint32_t failures = 0;
  };
  struct WeightsEntry {
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
  void GiveOrders(Instant now);
  bool MayOrder(Instant now, const Engine& engine,
                const ModelCount& count) const;
  bool WeightsReady(Instant now, const Engine& engine);
  bool Reads(const Engine& engine) const;
  void SendOrder(Instant now, Engine* engine);
  std::uint64_t Open(Instant now, Call call, HttpCall http);
  void FinishCall(Instant now, std::uint64_t id, bool answered);
  void HandleReport(Instant now, const Call& call, bool answered);
  void HandleOrder(Instant now, const Call& call, bool answered);
  void HandleWeights(Instant now, const Call& call, bool answered);
  void BackOff(Instant now, Engine* engine);
  void Refill(Instant now);

  PlacementSettings settings;
  WantedState wanted;
  Lease* lease;
  NextCallId next_call_id;
  Random random;
  std::shared_ptr<const FleetDocument> document;
  std::map<UpstreamId, Engine> engines;
  std::map<std::string, WeightsEntry> weights;
  std::map<std::uint64_t, Call> calls;
  UpstreamId report_cursor;
  double report_tokens = 1;
  double load_tokens = 0;
  Instant refilled_at{};
  Instant weights_not_before{};
  Instant next_tick{};
  std::uint64_t epoch = 0;  ///< of the holding that the state below belongs to
  std::uint64_t next_order = 1;
  PlacementCounters counters;
  Actions actions;
};

}  // namespace limpetlink
