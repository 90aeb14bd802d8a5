/// @file
/// @brief Adds the adapters' metrics to those of the core in /metrics.
#pragma once

#include <mutex>
#include <set>
#include <string>

#include "adapters/adapters.h"

namespace limpetlink {

/// @brief Counters of all adapters and of the event loop.
struct AdapterCounts {
  HttpServerCounts server;
  HttpClientCounts client;
  PeerLinksCounts links;
  CoreLoopCounts loop;
};

/// @brief Renders the adapters' counters in the Prometheus text format.
std::string RenderAdapterMetrics(const AdapterCounts& counts);

/// @brief The open requests for /metrics. Thread-safe.
class MetricsRequests {
 public:
  /// @brief Adds a request if its path is /metrics.
  void Add(const CallerRequest& request);

  /// @brief Removes a request.
  /// @return whether it was a request for /metrics
  bool Remove(RequestId id);

 private:
  std::mutex mutex;
  std::set<RequestId> ids;
};

}  // namespace limpetlink
