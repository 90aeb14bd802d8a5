/// @file
/// @brief The scenario language: parses scenario files and compares
/// observations with expectations.
#pragma once

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/base.h"

namespace limpetlink::scenario {

/// @brief Action on a process.
enum class ProcessVerb { kStart, kStop, kKill, kFreeze, kThaw };

/// @brief Fault injected into the links or responses of a fake.
enum class FaultVerb {
  kCut,           ///< aborts its open connections
  kStall,         ///< keeps connections open, transfers no bytes
  kSlow,          ///< delays each response by `delay_ms`
  kRefuse,        ///< rejects requests as not run
  kOutage,        ///< responds only with errors
  kLoseResponse,  ///< executes the next `count` writes, drops the response
  kReclaim,       ///< reports that it is leaving
  kClearFaults,   ///< clears all faults
};

/// @brief Starts, stops, kills, freezes or thaws processes.
struct ProcessStep {
  ProcessVerb verb = ProcessVerb::kStart;
  std::string subject;  ///< "entry-1", or a group such as "all" or "entries"
};

/// @brief Injects a fault into a fake.
struct FaultStep {
  FaultVerb verb = FaultVerb::kCut;
  std::string subject;         ///< such as "engine-1" or "platform"
  std::uint32_t delay_ms = 0;  ///< for kSlow, in milliseconds
  std::uint32_t count = 1;     ///< for kLoseResponse and kCut
};

/// @brief Sends a request; a background thread reads the response.
struct CallStep {
  std::string name;    ///< by which later steps refer to the call
  std::string to;      ///< entry host
  std::string method;  ///< default: "POST"
  std::string path;
  nlohmann::json headers = nlohmann::json::object();
  nlohmann::json body;
  std::string resumed_call;  ///< call whose stream is resumed; empty: none
  bool retries = false;      ///< repeats the call after Retry-After while the
                             ///< outcome is unknown
};

/// @brief Applies a changed fleet document in the background.
struct ApplyStep {
  std::string name;
  std::uint64_t base_version = 0;
  nlohmann::json set = nlohmann::json::object();  ///< JSON pointer -> value
};

/// @brief Waits until the observation of a subject matches, or times out.
struct ExpectStep {
  std::string subject;
  nlohmann::json expected;  ///< format: see Matches()
  std::chrono::milliseconds within{20000};
};

/// @brief A step that can run concurrently with others.
using RacingStep = std::variant<CallStep, ApplyStep>;

/// @brief Starts several calls and changes at the same time.
struct RaceStep {
  std::vector<RacingStep> steps;
};

/// @brief One step of a scenario.
using Step = std::variant<ProcessStep, FaultStep, CallStep, ApplyStep,
                          ExpectStep, RaceStep>;

/// @brief Number of processes of each role.
struct Topology {
  std::uint32_t entries = 2;
  std::uint32_t engines = 3;
  std::uint32_t services = 1;
};

/// @brief A parsed scenario.
struct Scenario {
  std::string name;       ///< subject, condition, result
  std::string guarantee;  ///< name of the guarantee under test
  Topology topology;
  std::vector<Step> steps;
  std::vector<std::string> step_texts;  ///< JSON of each step, for the report
};

/// @brief A scenario, or the validation errors of its text.
struct ScenarioParseResult {
  Scenario scenario;
  std::vector<std::string> errors;  ///< as "/steps/3: message"
};

/// @brief Parses a scenario.
/// @param text JSON
/// @return the scenario, or all validation errors; usable only if `errors` is
/// empty
ScenarioParseResult ParseScenario(std::string_view text);

/// @brief Compares an observation with an expectation.
/// @param expected a value that must be equal; a list of which any element must
/// match; {"least": n}, {"most": n} or both as inclusive limits of a number; or
/// an object whose members must all match
/// @param observed the observation; members that are not expected are ignored
/// @return true if the observation matches
bool Matches(const nlohmann::json& expected, const nlohmann::json& observed);

}  // namespace limpetlink::scenario

namespace limpetlink {

template <>
struct EnumTable<scenario::ProcessVerb> {
  static constexpr EnumName<scenario::ProcessVerb> kRows[] = {
      {scenario::ProcessVerb::kStart, "start"},
      {scenario::ProcessVerb::kStop, "stop"},
      {scenario::ProcessVerb::kKill, "kill"},
      {scenario::ProcessVerb::kFreeze, "freeze"},
      {scenario::ProcessVerb::kThaw, "thaw"}};
};

template <>
struct EnumTable<scenario::FaultVerb> {
  static constexpr EnumName<scenario::FaultVerb> kRows[] = {
      {scenario::FaultVerb::kCut, "cut"},
      {scenario::FaultVerb::kStall, "stall"},
      {scenario::FaultVerb::kSlow, "slow"},
      {scenario::FaultVerb::kRefuse, "refuse"},
      {scenario::FaultVerb::kOutage, "outage"},
      {scenario::FaultVerb::kLoseResponse, "lose-answer"},
      {scenario::FaultVerb::kReclaim, "reclaim"},
      {scenario::FaultVerb::kClearFaults, "mend"}};
};

}  // namespace limpetlink
