/// @file
/// @brief A fleet of real processes on loopback for a scenario.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "fleet/fleet.h"
#include "operators/operators.h"
#include "tests/scenario/applier.h"
#include "tests/scenario/caller.h"
#include "tests/scenario/process.h"
#include "tests/scenario/runner.h"

namespace limpetlink::scenario {

/// @brief What a process of the fleet is.
enum class Role { kPlatform, kEngine, kService, kEntry };

/// @brief One process of the fleet.
struct Member {
  std::string name;  ///< as "engine-2"
  Role role = Role::kPlatform;
  std::uint16_t port = 0;
  std::uint16_t peer_port = 0;  ///< of entry hosts
  std::unique_ptr<Process> process;

  /// @return "127.0.0.1:PORT"
  std::string Address() const;
};

/// @brief Where programs and logs are.
struct FleetPaths {
  std::string programs;  ///< folder with the binaries
  std::string logs;      ///< folder for what processes print
};

/// @brief Starts, harms and observes real processes.
/// @note Example:
/// @code
/// RealFleet fleet({"build/bin", "logs"});
/// const ScenarioResult result = RunScenario(scenario, fleet.Hooks(), report);
/// @endcode
class RealFleet {
 public:
  explicit RealFleet(FleetPaths paths);
  ~RealFleet();
  RealFleet(const RealFleet&) = delete;
  RealFleet& operator=(const RealFleet&) = delete;

  /// @return the hooks for RunScenario; valid as long as this
  Fleet Hooks();

 private:
  absl::Status SetUp(const Scenario& scenario);
  void AddMembers(const Topology& topology);
  void AddMember(Role role, std::uint32_t number, std::uint16_t port,
                 std::uint16_t peer_port);
  std::vector<std::string> CommandOf(const Member& member) const;
  FleetDocument DocumentOf(const Topology& topology) const;

  absl::Status OnProcess(const ProcessStep& step);
  absl::Status StartAll();
  absl::Status StartMember(Member* member);
  absl::Status AwaitAnswer(const Member& member, const std::string& path);
  absl::Status AnnounceHosts();
  absl::Status OnFault(const FaultStep& step);
  absl::Status Begin(const RaceStep& race);
  void BeginCall(const CallStep& step);
  void BeginApply(const ApplyStep& step);

  absl::StatusOr<std::vector<Member*>> Find(const std::string& subject);
  Member* BusyEngine();
  nlohmann::json Get(const Member& member, const std::string& path) const;
  bool Post(const Member& member, const std::string& path,
            const nlohmann::json& body) const;

  nlohmann::json ObserveSubject(const std::string& subject);
  nlohmann::json ObserveEntry(Member* member);
  nlohmann::json ObserveEntries();
  nlohmann::json ObserveUpstreams(const std::vector<Member*>& members);
  nlohmann::json ObserveApplied() const;
  nlohmann::json ObservePromises();
  void KeepRecord(const Member& member);

  FleetPaths paths;
  FleetDocument document;
  std::vector<Member> members;
  std::map<std::string, std::unique_ptr<Caller>> callers;
  std::map<std::string, CallStep> calls;
  std::map<std::string, std::unique_ptr<Applier>> appliers;
  std::map<std::string, std::uint64_t> newest_seen;  ///< version by entry host
  std::vector<std::string> reverted;                 ///< entry hosts
  std::map<std::string, nlohmann::json> kept;  ///< records of ended upstreams
};

}  // namespace limpetlink::scenario
