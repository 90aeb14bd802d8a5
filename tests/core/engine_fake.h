/// @file
/// @brief A model engine in virtual time: streams tokens, resumes and cancels.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "tests/core/network.h"

namespace limpetlink::testing {

/// @brief Text of a token; says which generation and offset it belongs to.
std::string TokenText(const std::string& generation, std::uint64_t offset);

/// @brief Runs generations of a fixed length at a fixed pace and keeps them for
/// resumes.
class EngineFake {
 public:
  /// @param name server name, also the upstream's id
  /// @param tokens length of every generation
  EngineFake(Network& network, Timeline& timeline, std::string name,
             std::uint64_t tokens);

  /// @brief The process dies: connections are cut and refused, generations are
  /// lost.
  void Kill();

  /// @brief Refuses new generations as not run and says so in its report.
  void Drain();

  /// @brief Says in its report that it drains, and takes new work all the same.
  void ReportDraining(bool on) { this->reports_draining = on; }

  /// @return generations accepted since the start
  std::uint64_t AcceptedCount() const { return this->accepted; }

  /// @return when the last generation was accepted
  Instant LastAcceptedAt() const { return this->last_accepted; }

 private:
  struct Generation {
    std::uint64_t produced = 0;
    bool cancelled = false;
    std::map<ExchangeId, std::uint64_t>
        readers;  ///< and the offset each has next
  };

  void OnRequest(ExchangeId id, const HttpCall& call);
  void StartGeneration(ExchangeId id, const HttpCall& call);
  void ResumeGeneration(ExchangeId id, const std::string& generation,
                        std::uint64_t offset);
  void ProduceToken(const std::string& generation);
  void SendTokens(const std::string& generation);
  void SendLoadReport(ExchangeId id);

  Network& network;
  Timeline& timeline;
  std::string name;
  std::uint64_t tokens;
  std::uint64_t incarnation =
      0;  ///< rises at each death, so that old work stops
  bool draining = false;
  bool reports_draining = false;
  std::uint64_t accepted = 0;
  Instant last_accepted{};
  std::map<std::string, Generation> generations;
};

}  // namespace limpetlink::testing
