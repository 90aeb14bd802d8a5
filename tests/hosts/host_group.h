/// @file
/// @brief Simulates a group of hosts in virtual time; each has the membership,
/// configuration and platform client components.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "configuration/configuration.h"
#include "membership/membership.h"
#include "metadata_store/metadata_store.h"
#include "metadata_store/tests/fake_platform.h"
#include "peers/peers.h"

namespace limpetlink::testing {

/// @brief Size of a group and faults of its messages.
struct GroupOptions {
  std::size_t hosts = 6;
  std::uint64_t seed = 1;
  Duration min_delay{std::chrono::milliseconds(2)};
  Duration max_delay{std::chrono::milliseconds(25)};
  double loss_rate = 0.0;  ///< fraction of peer messages lost, 0 to 1
  MembershipSettings membership;
  ConfigurationSettings configuration;
  /// Returns the processor time used so far in seconds; may be empty.
  std::function<double()> processor_clock;
};

/// @brief One host of a group and its counters.
struct GroupHost {
  HostId id;
  std::uint64_t incarnation = 0;
  bool running = false;
  Instant frozen_until{};
  std::unique_ptr<MetadataStoreClient> client;
  std::unique_ptr<Membership> membership;
  std::unique_ptr<ConfigurationStore> configuration;
  Instant wakeup = kNever;
  std::uint64_t frames = 0;  ///< frames sent
  std::uint64_t bytes = 0;   ///< bytes of the frames sent, with envelopes
  std::uint64_t largest_frame = 0;
  double processor_seconds = 0;
};

/// @brief Group of hosts, the network between them and their platform.
class HostGroup {
 public:
  explicit HostGroup(GroupOptions options);

  /// @brief Starts a host's process, or restarts it in a new incarnation.
  void StartHost(std::size_t index);
  /// @brief Starts every host at the current time.
  void StartAll();
  /// @brief Terminates a host's process without notifying its peers.
  void Kill(std::size_t index);
  /// @brief Freezes a host; events for it are deferred until the span has
  /// passed.
  void Freeze(std::size_t index, Duration span);
  /// @brief Runs for a span of virtual time.
  void RunFor(Duration span);
  /// @brief Runs until a condition holds, which is evaluated after each event.
  /// @return whether the condition held within the limit
  bool RunUntil(const std::function<bool()>& holds, Duration limit);
  /// @brief Writes the fleet document unconditionally, like an operator.
  /// @return the new version
  std::uint64_t WriteDocument(const std::string& text);
  /// @brief Responds to the watches whose object has a newer version.
  void CompleteWatches();

  /// @return whether the live list of each running host is exactly the set of
  /// running hosts
  bool ViewsAgree() const;
  /// @return number of running hosts that have applied at least this version
  std::size_t CountAtVersion(std::uint64_t version) const;
  /// @return number of running hosts
  std::size_t CountRunning() const;

  GroupOptions options;
  std::vector<GroupHost> hosts;
  FakePlatform platform;
  Instant now{std::chrono::seconds(1000)};
  /// Returns whether a frame from host a to host b is lost; may be empty.
  std::function<bool(std::size_t a, std::size_t b)> drop_frame;
  /// Returns the outcome of a host's platform call; may be empty.
  std::function<CallOutcome(std::size_t host, const HttpCall& call)>
      call_outcome;
  /// Called for each applied document, live list or membership action; each
  /// may be empty.
  std::function<void(std::size_t host, const ConfigurationApplied&)> on_applied;
  std::function<void(std::size_t host, const LiveHostsChanged&)> on_live;
  std::function<void(std::size_t host, const MembershipAction&)> on_membership;

 private:
  struct ScheduledTask {
    Instant at;
    std::uint64_t order = 0;
    std::size_t host = 0;
    std::uint64_t incarnation = 0;
    std::function<void()> run;  ///< empty for a wakeup
  };
  struct RunsLater {
    bool operator()(const ScheduledTask& a, const ScheduledTask& b) const {
      return a.at != b.at ? a.at > b.at : a.order > b.order;
    }
  };
  struct PendingWatch {
    std::size_t host = 0;
    std::uint64_t incarnation = 0;
    HttpCall call;
    Instant until{};
  };

  bool Step(Instant end);
  void Schedule(Instant at, std::size_t host, std::function<void()> run);
  void ProcessActions(std::size_t index);
  bool ProcessActionsOnce(std::size_t index);
  void RouteResult(std::size_t index, const StoreResult& result);
  void HandleMembership(std::size_t index, const MembershipAction& action);
  void SendFrame(std::size_t from, const HostId& to, PeerKind kind,
                 const std::string& payload);
  void Deliver(std::size_t to, const PeerFrame& frame);
  void ExecuteCall(std::size_t index, const HttpCall& call);
  void ServeCall(std::size_t index, const HttpCall& call,
                 CallOutcome call_outcome);
  void RespondToCall(std::size_t index, std::uint64_t incarnation, CallId id,
                     const FakePlatform::Response& response);
  void DeliverEvent(std::size_t index, const Event& event);
  std::size_t HostIndex(const HostId& id) const;
  Duration RandomDelay();

  Random random;
  std::uint64_t next_order = 0;
  std::uint64_t next_call = 0;
  std::vector<PendingWatch> pending_watches;
  std::priority_queue<ScheduledTask, std::vector<ScheduledTask>, RunsLater>
      queue;
};

}  // namespace limpetlink::testing
