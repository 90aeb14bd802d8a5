/// @file
/// @brief What operators and balancers read from a host.
#pragma once

#include <functional>

#include "entry/detail/cluster_flow.h"
#include "entry/detail/host_context.h"

namespace limpetlink {

/// @brief Serves /healthz, /readyz, /metrics, /v1/requests, /v1/status and
/// /v1/drain.
class OperatorPages {
 public:
  /// @param shared the host's state; outlives the pages
  /// @param cluster document and membership; outlives the pages
  /// @param drain begins a graceful shutdown
  OperatorPages(HostContext& shared, const ClusterFlow& cluster,
                std::function<void()> drain);

  /// @brief Answers a request for one of the pages.
  /// @return false when the path is none of them
  bool Receive(const CallerRequest& request);

 private:
  void Ready(RequestId id);
  void Status(RequestId id);
  void Requests(const CallerRequest& request);
  void Drain(const CallerRequest& request);

  HostContext& shared;
  const ClusterFlow& cluster;
  std::function<void()> drain;
};

}  // namespace limpetlink
