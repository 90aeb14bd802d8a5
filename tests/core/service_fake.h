/// @file
/// @brief Fake worker of an application service in virtual time that records
/// its executions.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "tests/core/network.h"

namespace limpetlink::testing {

/// @brief One execution of a request.
struct Execution {
  std::string worker;
  std::string method;
  std::string path;
  std::string body;
  Instant at;
};

/// @brief Fake worker that executes each received request once after 20 ms and
/// responds 5 ms later.
class ServiceFake {
 public:
  /// @param network network that the worker is a server of
  /// @param timeline virtual clock
  /// @param name address of the worker in the network, host:port
  /// @param executions record of the executions, shared by all workers
  ServiceFake(Network& network, Timeline& timeline, std::string name,
              std::vector<Execution>& executions);

  /// @brief Terminates the process: open connections break, new ones are
  /// refused, and unfinished work is lost.
  void Kill();

  /// @brief Rejects new requests with `not_run` and reports itself as draining.
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
