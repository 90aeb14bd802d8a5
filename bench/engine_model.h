/// @file
/// @brief Simulated inference engine in virtual time.
///
/// Models paged memory, continuous batching, chunked prefill that delays
/// decoding, preemption by recompute, a prefix cache and priorities.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <vector>

#include "base/base.h"

namespace limpetlink::bench {

/// @brief Capacity and speed of an engine.
struct EngineSettings {
  std::uint64_t memory_tokens = 60000;
  std::uint32_t page_tokens = 16;
  std::uint32_t max_batch = 64;
  std::uint32_t prefill_chunk = 2048;  ///< prompt tokens processed per step
  Duration step_base{8000};
  double stream_microseconds = 120;    ///< per step and decoding stream
  double prefill_microseconds = 12.5;  ///< per prompt token of a step
  std::size_t cached_prefixes = 6;
};

/// @brief A request submitted to the engine.
struct EngineJob {
  std::uint64_t id = 0;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 1;  ///< used by the model only
  std::uint32_t prefix = 0;  ///< identifier of the shared prefix; 0 for none
  std::uint32_t prefix_tokens = 0;
  std::int32_t priority = 0;
};

/// @brief One generated token.
struct EngineToken {
  std::uint64_t id = 0;
  std::uint32_t produced = 0;
  bool last = false;
};

/// @brief Insertion into or eviction from the prefix cache.
struct EngineCacheChange {
  std::uint32_t prefix = 0;
  bool present = true;
};

/// @brief Load report of the engine.
struct EngineStatus {
  std::uint64_t memory_tokens_used = 0;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint64_t preemptions = 0;
  Duration step_time{0};
};

/// @brief Deterministic model of one engine.
class EngineModel {
 public:
  explicit EngineModel(EngineSettings settings) : settings(settings) {}

  /// @brief Queues a job.
  void Submit(const EngineJob& job);
  /// @brief Changes the priority of a waiting or running job.
  void SetPriority(std::uint64_t id, std::int32_t priority);
  /// @brief Removes a waiting or running job.
  void Cancel(std::uint64_t id);
  /// @brief Starts a step.
  /// @return the duration of the step, or 0 when no job is running
  Duration BeginStep();
  /// @brief Finishes the step that `BeginStep` started.
  /// @return the tokens produced by the step
  std::vector<EngineToken> FinishStep();
  /// @brief Returns and clears the cache changes since the previous call.
  std::vector<EngineCacheChange> TakeCacheChanges();
  /// @return the current load report
  EngineStatus Status() const;

 private:
  struct Job {
    EngineJob job;
    std::uint64_t order = 0;
    std::uint32_t produced = 0;
    std::uint32_t prefill_left = 0;
    std::uint32_t prefill_tokens_in_step = 0;
    std::uint64_t pages = 0;
  };

  static bool RunsBefore(const Job& a, const Job& b);
  std::uint64_t PagesFor(std::uint64_t tokens) const;
  std::uint64_t FreePages() const;
  void AdmitWaiting();
  void Preempt();
  void ReserveDecodePages();
  std::uint32_t CachedTokens(const Job& job);
  void CachePrefix(std::uint32_t prefix);

  EngineSettings settings;
  std::vector<Job> waiting;
  std::vector<Job> running;
  std::uint64_t used_pages = 0;
  std::uint64_t submitted_count = 0;
  std::uint64_t preemptions = 0;
  Duration last_step_duration{0};
  std::list<std::uint32_t> cache;  ///< most recently used first
  std::vector<EngineCacheChange> cache_changes;
};

}  // namespace limpetlink::bench
