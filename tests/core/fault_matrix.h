/// @file
/// @brief Fault matrix of the entry host core: injects every fault at every
/// step of every activity, in virtual time.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/base.h"

namespace limpetlink::testing {

/// @brief Fault to inject.
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

/// @brief Activity during which a fault is injected.
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

/// @brief Parameters of one run: up to two faults, each at a step of an
/// activity; unused faults are kNone.
struct MatrixRun {
  Activity activity = Activity::kStream;
  Fault first = Fault::kNone;
  std::uint64_t first_step = 0;  ///< from 1, counted from the activity's start
  Fault second = Fault::kNone;
  std::uint64_t second_step = 0;
  std::uint64_t seed = 1;
};

/// @brief Result of one run.
struct MatrixRunResult {
  std::uint64_t steps = 0;  ///< steps until the activity finished
  std::vector<std::string>
      violations;  ///< violated guarantees; empty if the run passed
};

/// @brief Executes one run and checks every guarantee.
/// @note Deterministic: equal parameters give equal results.
MatrixRunResult Execute(const MatrixRun& run);

/// @brief Result of one cell of the matrix: all runs of one fault during one
/// activity.
struct MatrixCellResult {
  Fault fault = Fault::kNone;
  Activity activity = Activity::kStream;
  std::uint64_t runs = 0;
  std::uint64_t failed = 0;
  MatrixRun first_failure;
  std::string first_violation;
};

/// @brief Injects a fault at every step of an activity, one step a run.
/// @param seeds number of seeds to repeat this with
MatrixCellResult ExecuteCell(Fault fault, Activity activity,
                             std::uint64_t seeds);

/// @brief Injects a fault and a random second one at random steps of an
/// activity.
/// @param runs number of runs
MatrixCellResult ExecutePairs(Fault fault, Activity activity,
                              std::uint64_t runs);

}  // namespace limpetlink::testing
