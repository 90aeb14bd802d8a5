/// @file
/// @brief What operators and balancers read from a host.
#pragma once

#include "entry/detail/cluster_flow.h"
#include "entry/detail/host_context.h"

namespace limpetlink {

/// @brief Serves /healthz, /readyz, /metrics, /v1/requests and /v1/status.
class OperatorPages {
 public:
  /// @param shared the host's state; outlives the pages
  /// @param cluster document and membership; outlives the pages
  OperatorPages(HostContext& shared, const ClusterFlow& cluster);

  /// @brief Answers a request for one of the pages.
  /// @return false when the path is none of them
  bool Receive(const CallerRequest& request);

 private:
  void Ready(RequestId id);
  void Status(RequestId id);
  void Requests(const CallerRequest& request);

  HostContext& shared;
  const ClusterFlow& cluster;
};

}  // namespace limpetlink
