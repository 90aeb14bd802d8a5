/// @file
/// @brief A model engine in virtual time: paged memory, continuous batching,
/// chunked prefill that delays decoding, preemption by recompute, a prefix
/// cache and priorities.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <vector>

#include "base/base.h"

namespace limpetlink::bench {

/// @brief Sizes and speeds of an engine.
struct EngineSettings {
  std::uint64_t memory_tokens = 60000;
  std::uint32_t page_tokens = 16;
  std::uint32_t max_batch = 64;
  std::uint32_t prefill_chunk = 2048;  ///< prompt tokens read in one step
  Duration step_base{8000};
  double stream_microseconds = 120;    ///< of a step, for each decoding stream
  double prefill_microseconds = 12.5;  ///< of a step, for each prompt token
  std::size_t cached_prefixes = 6;
};

/// @brief A request as the engine sees it.
struct EngineJob {
  std::uint64_t id = 0;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 1;  ///< known to the model only
  std::uint32_t prefix = 0;         ///< which shared prefix; 0: none
  std::uint32_t prefix_tokens = 0;
  std::int32_t priority = 0;
};

/// @brief A token left the engine.
struct EngineToken {
  std::uint64_t id = 0;
  std::uint32_t produced = 0;
  bool last = false;
};

/// @brief The cache changed.
struct EngineCacheChange {
  std::uint32_t prefix = 0;
  bool present = true;
};

/// @brief What the engine reports.
struct EngineStatus {
  std::uint64_t memory_tokens_used = 0;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint64_t preemptions = 0;
  Duration step_time{0};
};

/// @brief One engine; deterministic.
class EngineModel {
 public:
  explicit EngineModel(EngineSettings settings) : settings(settings) {}

  /// @brief Queues a job.
  void Submit(const EngineJob& job);
  /// @brief Changes the priority of a job that is still there.
  void SetPriority(std::uint64_t id, std::int32_t priority);
  /// @brief Drops a job that has not been started or is running.
  void Cancel(std::uint64_t id);
  /// @brief Starts a step. @return its length, or 0 when nothing runs
  Duration Begin();
  /// @brief Ends the step that was begun. @return tokens produced
  std::vector<EngineToken> Finish();
  /// @brief Takes the changes of the cache since the last call.
  std::vector<EngineCacheChange> TakeCacheChanges();
  /// @return what it would report now
  EngineStatus Status() const;

 private:
  struct Job {
    EngineJob job;
    std::uint64_t order = 0;
    std::uint32_t produced = 0;
    std::uint32_t prefill_left = 0;
    std::uint32_t prefill_now = 0;
    std::uint64_t pages = 0;
  };

  static bool Before(const Job& a, const Job& b);
  std::uint64_t PagesFor(std::uint64_t tokens) const;
  std::uint64_t FreePages() const;
  void StartWaiting();
  void Preempt();
  void ReserveDecodePages();
  std::uint32_t CachedTokens(const Job& job);
  void Remember(std::uint32_t prefix);

  EngineSettings settings;
  std::vector<Job> waiting;
  std::vector<Job> running;
  std::uint64_t used_pages = 0;
  std::uint64_t orders = 0;
  std::uint64_t preemptions = 0;
  Duration last_step{0};
  std::list<std::uint32_t> cache;  ///< most recently used first
  std::vector<EngineCacheChange> cache_changes;
};

}  // namespace limpetlink::bench
