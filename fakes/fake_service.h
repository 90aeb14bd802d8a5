/// @file
/// @brief Fake of an application service: executes orders and lookups, and
/// records each execution.
#pragma once

#include <string>

#include "fakes/fake_host.h"

namespace limpetlink {

/// @brief Faults injected into the service.
struct ServiceFaults {
  std::string fault =
      "none";  ///< "none", "cut_before", "cut_after", "refuse" or "hang"
  std::uint64_t times = 0;     ///< requests that the fault applies to; 0: all
  std::uint64_t delay_ms = 0;  ///< delay between execution and response
  bool draining = false;       ///< reported; new requests are rejected
};

/// @brief Serves any method and path, as described in docs/fakes.md.
class FakeService {
 public:
  /// @param host HTTP host, which must outlive the service
  explicit FakeService(FakeHost* host);

 private:
  void Handle(const CallerRequest& request);
  void Control(const CallerRequest& request);
  void Execute(const CallerRequest& request);
  std::string ConsumeFault();

  FakeHost* host;
  ServiceFaults faults;
  std::uint64_t running = 0;
  OrderedJson executions = OrderedJson::array();
};

}  // namespace limpetlink
