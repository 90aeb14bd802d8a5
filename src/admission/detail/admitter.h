/// @file
/// @brief Load accounting and admission decisions for one worker.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <tuple>

#include "admission/detail/headroom.h"
#include "admission/detail/lengths.h"
#include "admission/detail/policy.h"
#include "admission/detail/queue.h"
#include "admission/detail/regression.h"
#include "base/base.h"
#include "fleet/fleet.h"

namespace limpetlink {

/// @brief Identifies a stream by its ticket and the entry host that holds it.
struct StreamKey {
  HostId holder;
  Ticket ticket;  ///< number assigned by the holder

  friend bool operator<(const StreamKey& a, const StreamKey& b) {
    return a.ticket == b.ticket ? a.holder < b.holder : a.ticket < b.ticket;
  }
};

/// @brief The resources that a request requires of a worker.
struct Demand {
  RequestClass request_class = RequestClass::kDraft;
  std::uint32_t prompt_tokens = 0;
  /// Part of the prompt that is likely cached.
  std::uint32_t cached_tokens = 0;
  std::uint32_t max_output_tokens = 0;
  const LengthHistogram* lengths = nullptr;  ///< must outlive the stream
};

/// @brief Whether a worker may start a request now, else the reason against it.
enum class AdmissionDecision {
  kAdmit,
  kMemory,    ///< the risk of a memory overflow is too high
  kBatch,     ///< the batch is at its cap
  kPrefill,   ///< too many prompt tokens are in prefill
  kHeadroom,  ///< the remaining capacity is reserved for verdicts
  kRebuild,   ///< the load accounting is being rebuilt
  kTooLong,   ///< the prompt exceeds the worker's memory
};

template <>
struct EnumTable<AdmissionDecision> {
  static constexpr EnumName<AdmissionDecision> kRows[] = {
      {AdmissionDecision::kAdmit, "admit"},
      {AdmissionDecision::kMemory, "memory"},
      {AdmissionDecision::kBatch, "batch"},
      {AdmissionDecision::kPrefill, "prefill"},
      {AdmissionDecision::kHeadroom, "headroom"},
      {AdmissionDecision::kRebuild, "rebuild"},
      {AdmissionDecision::kTooLong, "too_long"}};
};

/// @brief Computes a stream's priority at its engine: verdicts above drafts,
/// then a level that rises each time the output has grown fourfold.
/// @return the priority; the engine keeps streams of higher priority longer
std::int32_t StreamPriority(RequestClass request_class, std::uint32_t produced);

/// @brief The part of a worker's report that admission uses.
struct EngineLoad {
  std::uint64_t memory_tokens = 0;
  std::uint64_t memory_tokens_used = 0;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  Duration step_time{0};
};

/// @brief Tracks the placements at one worker exactly and decides whether it
/// may start another request; the worker's lagging reports correct the
/// estimate.
/// @note Example:
/// @code
/// Admitter admitter(MakeAdmissionPolicy(document.weights));
/// if (admitter.Check(now, demand, 1.0) == AdmissionDecision::kAdmit) {
///   admitter.Add(now, key, demand, 0);
/// }
/// @endcode
class Admitter {
 public:
  /// @param policy limits derived from the weights
  explicit Admitter(AdmissionPolicy policy);

  /// @brief Applies a new policy.
  void SetPolicy(AdmissionPolicy new_policy);

  /// @brief Decides whether a request may start now.
  /// @param now core time
  /// @param demand the request's requirements
  /// @param share fraction of the worker that may be used, in (0, 1]
  /// @note Complexity: constant between refreshes (ten a second), which are
  /// linear in the worker's streams.
  AdmissionDecision Check(Instant now, const Demand& demand, double share);

  /// @brief Records the placement of a stream.
  /// @param produced tokens it has already produced (a re-announced stream)
  void Add(Instant now, const StreamKey& key, const Demand& demand,
           std::uint32_t produced);

  /// @brief Records produced tokens; a number below the last one is ignored.
  /// @param tokens total number of tokens produced
  /// @return whether the stream is tracked
  bool RecordProduced(Instant now, const StreamKey& key, std::uint32_t tokens);

  /// @brief Removes a stream.
  /// @return whether it was tracked
  bool Remove(const StreamKey& key);

  /// @brief Removes every stream of a holder, for example after the host
  /// failed.
  void RemoveHolder(const HostId& holder);

  /// @brief Applies a load report.
  void Report(Instant now, const EngineLoad& load);

  /// @brief Updates the verdict headroom on a verdict's arrival, admitted or
  /// not.
  void ObserveVerdict(const Demand& demand, double in_progress);

  /// @brief Restricts admission until a report and all holders' announcements
  /// have arrived, at most until the given time.
  void BeginRebuild(Instant until);

  /// @brief Marks all holders' announcements as received.
  void MarkAnnounced() { this->announced = true; }

  /// @return number of tracked streams
  std::size_t Size() const { return this->streams.size(); }
  /// @return number of tracked verdicts
  std::uint32_t Verdicts() const { return this->verdicts; }
  /// @return whether a stream is tracked
  bool Contains(const StreamKey& key) const {
    return this->streams.count(key) != 0;
  }
  /// @return utilisation of memory or batch, whichever is larger; 1 when full,
  /// may exceed 1
  double Utilisation() const;
  /// @return the largest number of concurrent streams, fitted to the reports
  double BatchCap() const;

 private:
  static constexpr std::size_t kHorizons = 15;
  using Horizons = std::array<double, kHorizons>;

  struct Moments {
    Horizons mean{};
    Horizons variance{};
  };

  struct Stream {
    Demand demand;
    std::uint32_t produced = 0;
    Instant added;
    double prefill_at_add = 0;  ///< prefill tokens in flight after its addition
    Moments moments;
  };

  static Moments ComputeMoments(const Demand& demand, std::uint32_t produced);
  static double PrefillTokens(const Demand& demand);
  static double MemoryTokens(const Stream& stream);
  void Refresh(Instant now);
  void AddMoments(const Moments& moments, double sign);
  bool IsRebuilding(Instant now);
  bool OverflowTooLikely(const Demand& demand, double reserve,
                         double share) const;
  AdmissionDecision CheckBatch(const Demand& demand, double share) const;
  bool PrefillFull(const Demand& demand) const;
  void RecordFirstToken(Instant now, const Stream& stream);

  AdmissionPolicy policy;
  std::map<StreamKey, Stream> streams;
  Moments sums;
  double memory_now = 0;
  double prefill = 0;  ///< prompt tokens admitted and not yet processed
  std::uint32_t verdicts = 0;
  VerdictHeadroom headroom;
  LinearRegression step_fit;     ///< step time over number of streams
  LinearRegression prefill_fit;  ///< time to first token over prefill in flight
  double capacity = 0;           ///< tokens; 0 before the first report
  /// Tokens in use that the tracked streams do not account for.
  double unaccounted_tokens = 0;
  std::uint32_t engine_waiting = 0;
  Instant refreshed;
  Instant rebuild_until;
  bool announced = true;
  bool reported = false;
};

}  // namespace limpetlink
