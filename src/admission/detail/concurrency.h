/// @file
/// @brief Estimates how many requests a service worker can run concurrently.
#pragma once

#include <cstdint>
#include <set>

#include "admission/detail/admitter.h"

namespace limpetlink {

/// @brief Estimates a service worker's concurrency from its reports: the cap
/// grows while no request waits at the worker, and falls to the number of
/// running requests when one does.
class ConcurrencyEstimate {
 public:
  /// @brief Decides whether one more request may start.
  /// @param share fraction of the worker that may be used, in (0, 1]
  bool Check(double share) const;

  /// @brief Records the placement of a request.
  void Add(const StreamKey& key) { this->running.insert(key); }

  /// @brief Removes a request.
  /// @return whether it was tracked
  bool Remove(const StreamKey& key) { return this->running.erase(key) != 0; }

  /// @brief Removes every request of a holder.
  void RemoveHolder(const HostId& holder);

  /// @brief Applies a load report.
  void Report(std::uint32_t reported_running, std::uint32_t reported_waiting);

  /// @return whether a request is tracked
  bool Contains(const StreamKey& key) const {
    return this->running.count(key) != 0;
  }

  /// @return utilisation, 1 when full
  double Utilisation() const {
    return static_cast<double>(this->running.size()) / this->cap;
  }

 private:
  std::set<StreamKey> running;
  double cap = kInitialCap;

  static constexpr double kInitialCap = 16;  // requests
};

}  // namespace limpetlink
