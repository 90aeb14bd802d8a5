/// @file
/// @brief How many requests a service worker may run at once.
#pragma once

#include <cstdint>
#include <set>

#include "admission/detail/admitter.h"

namespace limpetlink {

/// @brief Learns a service worker's concurrency from its reports: it grows
/// while nothing waits there, and falls to what runs when something does.
class ConcurrencyEstimate {
 public:
  /// @brief Says whether one more may start.
  /// @param share fraction of the worker that may be used, in (0, 1]
  bool Check(double share) const;

  /// @brief Enters a request.
  void Add(const StreamKey& key) { this->running.insert(key); }

  /// @brief Takes a request out.
  /// @return whether it was there
  bool Remove(const StreamKey& key) { return this->running.erase(key) != 0; }

  /// @brief Drops every request of a holder.
  void RemoveHolder(const HostId& holder);

  /// @brief Takes a report in.
  void Report(std::uint32_t reported_running, std::uint32_t reported_waiting);

  /// @return whether a request is in the account
  bool Contains(const StreamKey& key) const {
    return this->running.count(key) != 0;
  }

  /// @return fill, 1 being full
  double Utilisation() const {
    return static_cast<double>(this->running.size()) / this->cap;
  }

 private:
  std::set<StreamKey> running;
  double cap = kInitialCap;

  static constexpr double kInitialCap = 16;  // requests
};

}  // namespace limpetlink
