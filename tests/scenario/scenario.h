/// @file
/// @brief The scenario language: what a scenario says, read from JSON.
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

/// @brief What is done to a process.
enum class ProcessVerb { kStart, kStop, kKill, kFreeze, kThaw };

/// @brief What is done to a stand-in's links and answers.
enum class FaultVerb {
  kCut,         ///< break its open connections
  kStall,       ///< keep connections open, move no bytes
  kSlow,        ///< delay each answer by `ms`
  kRefuse,      ///< say that it does not run requests
  kOutage,      ///< answer nothing but errors
  kLoseAnswer,  ///< carry out the next `count` writes and cut the answer
  kReclaim,     ///< announce that it leaves
  kMend,        ///< end all faults
};

/// @brief Starts, ends, stops or resumes a process.
struct ProcessStep {
  ProcessVerb verb = ProcessVerb::kStart;
  std::string subject;  ///< as "entry-1", or a group as "all" or "entries"
};

/// @brief Puts a fault on a stand-in.
struct FaultStep {
  FaultVerb verb = FaultVerb::kCut;
  std::string subject;      ///< as "engine-1" or "platform"
  std::uint32_t ms = 0;     ///< for kSlow
  std::uint32_t count = 1;  ///< for kLoseAnswer
};

/// @brief Sends a caller's request; its answer is read in the background.
struct CallStep {
  std::string name;    ///< by which later steps speak of it
  std::string to;      ///< entry host
  std::string method;  ///< "POST" when left out
  std::string path;
  nlohmann::json headers = nlohmann::json::object();
  nlohmann::json body;
  std::string continues;  ///< call whose stream is taken up; empty: none
  bool comes_back =
      false;  ///< asks again, as Retry-After says, while the outcome is unknown
};

/// @brief Puts a changed fleet document in force; runs in the background.
struct ApplyStep {
  std::string name;
  std::uint64_t base_version = 0;
  nlohmann::json set = nlohmann::json::object();  ///< JSON pointer -> value
};

/// @brief Waits until a subject's observation matches.
struct ExpectStep {
  std::string subject;
  nlohmann::json expected;  ///< see Matches
  std::chrono::milliseconds within{20000};
};

/// @brief A step that can run beside others.
using RacingStep = std::variant<CallStep, ApplyStep>;

/// @brief Begins several calls and changes at the same moment.
struct RaceStep {
  std::vector<RacingStep> steps;
};

/// @brief One step.
using Step = std::variant<ProcessStep, FaultStep, CallStep, ApplyStep,
                          ExpectStep, RaceStep>;

/// @brief How many of each process a scenario wants.
struct Topology {
  std::uint32_t entries = 2;
  std::uint32_t engines = 3;
  std::uint32_t services = 1;
};

/// @brief A scenario.
struct Scenario {
  std::string name;     ///< subject, condition, result
  std::string promise;  ///< name of the promise that it proves
  Topology topology;
  std::vector<Step> steps;
  std::vector<std::string> lines;  ///< each step's JSON, for the report
};

/// @brief A scenario or what is wrong with its text.
struct ScenarioParseResult {
  Scenario scenario;
  std::vector<std::string> faults;  ///< "/steps/3: message"
};

/// @brief Reads a scenario.
/// @param text JSON
/// @return the scenario, or all faults at once
ScenarioParseResult ParseScenario(std::string_view text);

/// @brief Compares an observation with what is expected.
/// @param expected a value that must be equal; a list of which one must match;
/// {"least": n}, {"most": n} or both for numbers; another object whose members
/// must each match
/// @param observed what was seen
/// @return whether it matches
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
      {scenario::FaultVerb::kLoseAnswer, "lose-answer"},
      {scenario::FaultVerb::kReclaim, "reclaim"},
      {scenario::FaultVerb::kMend, "mend"}};
};

}  // namespace limpetlink
