/// @file
/// @brief Stand-in for an application service: runs orders and lookups, and
/// counts each execution.
#pragma once

#include <string>

#include "fakes/fake_host.h"

namespace limpetlink {

/// @brief What the service does wrong now.
struct ServiceFaults {
  std::string fault =
      "none";  ///< "none", "cut_before", "cut_after", "refuse" or "hang"
  std::uint64_t times = 0;     ///< requests that the fault still meets; 0: all
  std::uint64_t delay_ms = 0;  ///< before each answer, after the execution
  bool draining = false;       ///< reported, and new requests are refused
};

/// @brief Serves any method and path (docs/fakes.md).
class FakeService {
 public:
  /// @param host carries requests and answers; outlives the service
  explicit FakeService(FakeHost* host);

 private:
  void Handle(const CallerRequest& request);
  void Control(const CallerRequest& request);
  void Execute(const CallerRequest& request);
  std::string TakeFault();

  FakeHost* host;
  ServiceFaults faults;
  std::uint64_t running = 0;
  OrderedJson executions = OrderedJson::array();
};

}  // namespace limpetlink
