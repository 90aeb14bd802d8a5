/// @file
/// @brief The core's fault matrix: every fault at every step of every activity,
/// in virtual time.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/base.h"

namespace limpetlink::testing {

/// @brief What fails.
enum class Fault {
  kNone,
  kEngineDies,
  kEngineReclaimed,
  kServiceDies,
  kHostDies,
  kLinkStalls,
  kPlatformDown,
  kPlatformSlow,
  kResponseLost,
  kHostPaused,
  kOperatorsRace,
  kHostLeaves,
};

/// @brief What goes on while it fails.
enum class Activity {
  kStream,
  kCompleteResponse,
  kOrder,
  kLookup,
  kConfigurationChange,
  kShutdown
};

}  // namespace limpetlink::testing

namespace limpetlink {

template <>
struct EnumTable<testing::Fault> {
  static constexpr EnumName<testing::Fault> kRows[] = {
      {testing::Fault::kNone, "nothing fails"},
      {testing::Fault::kEngineDies, "engine dies"},
      {testing::Fault::kEngineReclaimed, "engine is reclaimed at short notice"},
      {testing::Fault::kServiceDies, "application service dies"},
      {testing::Fault::kHostDies, "entry host dies"},
      {testing::Fault::kLinkStalls, "link stalls"},
      {testing::Fault::kPlatformDown, "platform is down"},
      {testing::Fault::kPlatformSlow, "platform is slow"},
      {testing::Fault::kResponseLost, "answer lost after the write"},
      {testing::Fault::kHostPaused, "host is paused and wakes"},
      {testing::Fault::kOperatorsRace, "operators race"},
      {testing::Fault::kHostLeaves, "host leaves"}};
};

template <>
struct EnumTable<testing::Activity> {
  static constexpr EnumName<testing::Activity> kRows[] = {
      {testing::Activity::kStream, "stream"},
      {testing::Activity::kCompleteResponse, "whole answer"},
      {testing::Activity::kOrder, "order"},
      {testing::Activity::kLookup, "lookup"},
      {testing::Activity::kConfigurationChange, "configuration change"},
      {testing::Activity::kShutdown, "shutdown"}};
};

}  // namespace limpetlink

namespace limpetlink::testing {

/// @brief One run: two faults at two steps of an activity; kNone for fewer.
struct MatrixRun {
  Activity activity = Activity::kStream;
  Fault first = Fault::kNone;
  std::uint64_t first_step = 0;  ///< counted from the activity's start
  Fault second = Fault::kNone;
  std::uint64_t second_step = 0;
  std::uint64_t seed = 1;
};

/// @brief What a run showed.
struct MatrixRunResult {
  std::uint64_t steps = 0;  ///< of the activity, until it was over
  std::vector<std::string>
      violations;  ///< broken promises; empty when it passed
};

/// @brief Carries out one run and checks every promise.
/// @note Deterministic: equal runs give equal results.
MatrixRunResult Execute(const MatrixRun& run);

/// @brief One cell of the table: a fault put at each step of an activity in
/// turn.
struct MatrixCellResult {
  Fault fault = Fault::kNone;
  Activity activity = Activity::kStream;
  std::uint64_t runs = 0;
  std::uint64_t failed = 0;
  MatrixRun first_failure;
  std::string first_violation;
};

/// @brief Puts a fault at every step of an activity, for each seed.
MatrixCellResult ExecuteCell(Fault fault, Activity activity,
                             std::uint64_t seeds);

/// @brief Puts seeded pairs of faults at seeded steps of an activity.
MatrixCellResult ExecutePairs(Fault fault, Activity activity,
                              std::uint64_t runs);

}  // namespace limpetlink::testing
