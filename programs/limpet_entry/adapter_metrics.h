/// @file
/// @brief The adapters' counts as text beside the core's own in /metrics.
#pragma once

#include <mutex>
#include <set>
#include <string>

#include "adapters/adapters.h"

namespace limpetlink {

/// @brief Everything the adapters count.
struct AdapterCounts {
  HttpServerCounts server;
  HttpClientCounts client;
  PeerLinksCounts links;
  CoreLoopCounts loop;
};

/// @brief Renders the adapters' counts in the Prometheus text format.
std::string RenderAdapterMetrics(const AdapterCounts& counts);

/// @brief Remembers which open requests ask for /metrics.
class MetricsRequests {
 public:
  /// @brief Notes a request if it asks for the metrics. Any thread.
  void Note(const CallerRequest& request);

  /// @brief Forgets a request.
  /// @return whether it had asked for the metrics
  bool Forget(RequestId id);

 private:
  std::mutex mutex;
  std::set<RequestId> ids;
};

}  // namespace limpetlink
