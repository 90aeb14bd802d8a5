/// @file
/// @brief Fake model engine in virtual time that streams, resumes and cancels
/// generations.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "tests/core/network.h"

namespace limpetlink::testing {

/// @brief Returns the text of a token, which encodes its generation and offset.
std::string TokenText(const std::string& generation, std::uint64_t offset);

/// @brief Fake engine that generates one token every 10 ms and retains its
/// generations so that they can be resumed.
class EngineFake {
 public:
  /// @param network network that the engine is a server of
  /// @param timeline virtual clock that schedules the tokens
  /// @param name address of the engine in the network, host:port
  /// @param tokens number of tokens of every generation
  EngineFake(Network& network, Timeline& timeline, std::string name,
             std::uint64_t tokens);

  /// @brief Terminates the process: open connections break, new ones are
  /// refused, and all generations are lost.
  void Kill();

  /// @brief Rejects new generations with `not_run` and reports itself as
  /// draining.
  void Drain();

  /// @brief Sets the draining flag of the load report; new generations are
  /// still accepted.
  void ReportDraining(bool on) { this->reports_draining = on; }

  /// @return number of generations accepted since the construction
  std::uint64_t AcceptedCount() const { return this->accepted; }

  /// @return time at which the last generation was accepted
  Instant LastAcceptedAt() const { return this->last_accepted; }

 private:
  struct Generation {
    std::uint64_t produced = 0;
    bool cancelled = false;
    std::map<ExchangeId, std::uint64_t>
        readers;  ///< next token offset by reader
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
      0;  ///< rises with each Kill, which cancels pending tasks
  bool draining = false;
  bool reports_draining = false;
  std::uint64_t accepted = 0;
  Instant last_accepted{};
  std::map<std::string, Generation> generations;
};

}  // namespace limpetlink::testing
