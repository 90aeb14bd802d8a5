/// @file
/// @brief HTTP endpoints for operators and load balancers.
#pragma once

#include <functional>

#include "entry/detail/cluster_sync.h"
#include "entry/detail/host_context.h"

namespace limpetlink {

/// @brief Serves /healthz, /readyz, /metrics, /v1/requests, /v1/status and
/// /v1/drain.
class OperatorEndpoints {
 public:
  /// @param shared state of the host; must outlive this object
  /// @param cluster document and membership; must outlive this object
  /// @param begin_drain begins a graceful shutdown
  OperatorEndpoints(HostContext& shared, const ClusterSync& cluster,
                    std::function<void()> begin_drain);

  /// @brief Responds to a request for one of the endpoints.
  /// @return false if the path is none of them
  bool Handle(const CallerRequest& request);

 private:
  void ReplyReadiness(RequestId id);
  void ReplyStatus(RequestId id);
  void ReplyRequests(const CallerRequest& request);
  void HandleDrain(const CallerRequest& request);

  HostContext& shared;
  const ClusterSync& cluster;
  std::function<void()> begin_drain;
};

}  // namespace limpetlink
