/// @file
/// @brief Runs a scenario against real processes on the loopback interface.
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

/// @brief Role of a process.
enum class Role { kPlatform, kEngine, kService, kEntry };

/// @brief One process of the fleet.
struct Member {
  std::string name;  ///< such as "engine-2"
  Role role = Role::kPlatform;
  std::uint16_t port = 0;
  std::uint16_t peer_port = 0;  ///< entry hosts only
  std::unique_ptr<Process> process;
  bool stopping = false;  ///< SIGTERM was sent; may still be running

  /// @return "127.0.0.1:PORT"
  std::string Address() const;
};

/// @brief Folders of programs and logs.
struct FleetPaths {
  std::string programs;  ///< folder with the binaries
  std::string logs;      ///< folder for the output of the processes
};

/// @brief Starts processes, injects faults and observes the processes.
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

  /// @return the hooks for RunScenario(), valid as long as this object
  FleetHooks Hooks();

 private:
  absl::Status SetUp(const Scenario& scenario);
  void AddMembers(const Topology& topology);
  void AddMember(Role role, std::uint32_t number, std::uint16_t port,
                 std::uint16_t peer_port);
  std::vector<std::string> CommandLine(const Member& member) const;
  FleetDocument BuildDocument(const Topology& topology) const;

  absl::Status ApplyProcessStep(const ProcessStep& step);
  absl::Status StartAll();
  absl::Status StartMember(Member* member);
  absl::Status WaitUntilResponding(const Member& member,
                                   const std::string& path);
  absl::Status AnnounceHosts();
  absl::Status ApplyFaultStep(const FaultStep& step);
  absl::Status StartSteps(const RaceStep& race);
  void StartCall(const CallStep& step);
  void StartApply(const ApplyStep& step);

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
  nlohmann::json ObserveGuarantees();
  void StoreRecord(const Member& member);

  FleetPaths paths;
  FleetDocument document;
  std::vector<Member> members;
  std::map<std::string, std::unique_ptr<Caller>> callers;
  std::map<std::string, CallStep> calls;
  std::map<std::string, std::unique_ptr<Applier>> appliers;
  std::map<std::string, std::uint64_t> newest_versions;  ///< by entry host
  std::vector<std::string> reverted_hosts;               ///< entry hosts
  /// Records of killed upstreams, by name.
  std::map<std::string, nlohmann::json> stored_records;
};

}  // namespace limpetlink::scenario
