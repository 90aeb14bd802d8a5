/// @file
/// @brief A worker of an application service in virtual time, that remembers
/// what it ran.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "tests/core/network.h"

namespace limpetlink::testing {

/// @brief One run of a request.
struct Execution {
  std::string worker;
  std::string method;
  std::string path;
  std::string body;
  Instant at;
};

/// @brief Runs every request it receives once, after some time, and answers.
class ServiceFake {
 public:
  /// @param executions shared record of all workers' runs
  ServiceFake(Network& network, Timeline& timeline, std::string name,
              std::vector<Execution>& executions);

  /// @brief The process dies: connections are cut and refused, work not done
  /// yet is lost.
  void Kill();

  /// @brief Refuses new work as not run and says so in its report.
  void Drain() { this->draining = true; }

 private:
  void OnRequest(ExchangeId id, const HttpCall& call);

  Network& network;
  Timeline& timeline;
  std::string name;
  std::vector<Execution>& executions;
  std::uint64_t incarnation = 0;
  bool draining = false;
  std::uint64_t running = 0;
};

}  // namespace limpetlink::testing
