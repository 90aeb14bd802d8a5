/// @file
/// @brief The account of one worker and the decision whether it may take more.
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

/// @brief A stream and the entry host that holds it.
struct StreamKey {
  HostId holder;
  Ticket ticket;  ///< the holder's number for it

  friend bool operator<(const StreamKey& a, const StreamKey& b) {
    return a.ticket == b.ticket ? a.holder < b.holder : a.ticket < b.ticket;
  }
};

/// @brief What a request asks of a worker.
struct Demand {
  RequestClass request_class = RequestClass::kDraft;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t cached_tokens = 0;  ///< of the prompt, likely in the cache
  std::uint32_t max_output_tokens = 0;
  const LengthHistogram* lengths = nullptr;  ///< outlives the stream
};

/// @brief Whether a worker may take a request now, else what stands against it.
enum class AdmissionDecision {
  kAdmit,
  kMemory,    ///< the risk that memory overflows is too high
  kBatch,     ///< the batch is at its cap
  kPrefill,   ///< enough prompts are being read
  kHeadroom,  ///< the room left is kept for verdicts
  kRebuild,   ///< the account is being rebuilt
  kTooLong,   ///< can never fit this worker
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

/// @brief Gives the priority of a stream at its engine: verdicts above drafts,
/// then a level that rises each time the output has grown fourfold.
/// @return higher is kept longer
std::int32_t StreamPriority(RequestClass request_class, std::uint32_t produced);

/// @brief A worker's own report, as far as admission reads it.
struct EngineLoad {
  std::uint64_t memory_tokens = 0;
  std::uint64_t memory_tokens_used = 0;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  Duration step_time{0};
};

/// @brief Keeps the exact account of what was placed at one worker; lagging
/// reports correct it.
/// @note Example:
/// @code
/// Admitter admitter(MakeAdmissionPolicy(document.weights));
/// if (admitter.Check(now, demand, 1.0) == AdmissionAnswer::kAdmit) {
///   admitter.Add(now, key, demand, 0);
/// }
/// @endcode
class Admitter {
 public:
  /// @param policy bounds from the weights
  explicit Admitter(AdmissionPolicy policy);

  /// @brief Takes new weights in.
  void SetPolicy(AdmissionPolicy new_policy);

  /// @brief Says whether a request may start now.
  /// @param now core time
  /// @param demand what it asks
  /// @param share fraction of the worker that may be used, in (0, 1]
  /// @note Complexity: constant between refreshes (ten a second), which are
  /// linear in the worker's streams.
  AdmissionDecision Check(Instant now, const Demand& demand, double share);

  /// @brief Enters a stream into the account.
  /// @param produced tokens it has already produced (a re-announced stream)
  void Add(Instant now, const StreamKey& key, const Demand& demand,
           std::uint32_t produced);

  /// @brief Counts produced tokens; a number below the last one is ignored.
  /// @param tokens produced in all
  /// @return whether the stream is in the account
  bool RecordProduced(Instant now, const StreamKey& key, std::uint32_t tokens);

  /// @brief Takes a stream out of the account.
  /// @return whether it was there
  bool Remove(const StreamKey& key);

  /// @brief Drops every stream of a holder, as when it is gone.
  void RemoveHolder(const HostId& holder);

  /// @brief Takes a report in.
  void Report(Instant now, const EngineLoad& load);

  /// @brief Learns headroom from a verdict's arrival, admitted or not.
  void ObserveVerdict(const Demand& demand, double in_progress);

  /// @brief Admits with care until a report and the holders' announcements
  /// have come, at the latest until a time.
  void BeginRebuild(Instant until);

  /// @brief The holders' announcements have come.
  void MarkAnnounced() { this->announced = true; }

  /// @return streams in the account
  std::size_t Size() const { return this->streams.size(); }
  /// @return verdicts in the account
  std::uint32_t Verdicts() const { return this->verdicts; }
  /// @return whether a stream is in the account
  bool Contains(const StreamKey& key) const {
    return this->streams.count(key) != 0;
  }
  /// @return fill in [0, 1] or above, the larger of memory and batch
  double Utilisation() const;
  /// @return the largest number of streams at once, after what was learnt
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
    double prefill_at_add = 0;  ///< in flight when it was added, with its own
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
  double prefill = 0;  ///< prompt tokens admitted and not yet read
  std::uint32_t verdicts = 0;
  VerdictHeadroom headroom;
  LinearRegression step_fit;     ///< step time over streams
  LinearRegression prefill_fit;  ///< time to first token over prefill in flight
  double capacity = 0;           ///< tokens; 0 before the first report
  double unaccounted_tokens =
      0;  ///< tokens used that the account does not explain
  std::uint32_t engine_waiting = 0;
  Instant refreshed;
  Instant rebuild_until;
  bool announced = true;
  bool reported = false;
};

}  // namespace limpetlink
