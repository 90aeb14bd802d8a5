/// @file
/// @brief A GatewayHost in virtual time with a scripted store and workers.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "gateway/gateway.h"

namespace limpetlink::testing {

/// @brief What became of a caller's request.
struct ToldCaller {
  int status = 0;
  Headers headers;
  std::string body;
  bool ended = false;
  bool aborted = false;
};

/// @brief Drives one host; the test plays callers, workers and the store.
class GatewayFixture {
 public:
  GatewayFixture();

  /// @brief Adopts a deployment with one route of each kind.
  static Deployment MakeDeployment(std::uint64_t version);

  void Register(const std::string& name, const std::string& service,
                bool draining = false);
  void Unregister(const std::string& name);
  void Adopt(Deployment next);

  /// @brief Sends a request; path "/lookup/", "/order/" or "/stream/".
  RequestId Ask(const std::string& path, const std::string& key = "key-1");
  void Leave(RequestId id);

  /// @brief Calls to workers that were ordered and are not taken yet.
  std::vector<HttpCall> TakeCalls();
  /// @brief The one call that waits.
  HttpCall Call();
  /// @brief The order to copy that waits, as the engine was sent it.
  HttpCall Order(const std::string& path);

  void Head(const HttpCall& call, int status, Headers extra = {});
  void Bytes(const HttpCall& call, const std::string& bytes);
  void Done(const HttpCall& call, HttpEnd end = HttpEnd::kComplete);
  void Answer(const HttpCall& call, int status, const std::string& body,
              Headers extra = {});

  /// @brief Lets time pass; quiet watches of the store are answered unless it
  /// is away.
  void Pass(Duration span);

  const ToldCaller& Told(RequestId id) { return this->told[id.value]; }
  bool Cancelled(const HttpCall& call) const;
  static std::string HeaderOf(const Headers& headers, const std::string& name);

  Instant now{std::chrono::seconds(1000)};
  bool store_away = false;
  GatewayHost host;
  int log_lines = 0;
  std::vector<PeerSend> datagrams;  ///< sent to other hosts

  /// @brief What callers say of their prompts from now on.
  static void SetPromptTokens(std::uint64_t tokens);

  /// @brief Another host says something.
  void Hear(const NeighbourMessage& message);

 private:
  void Carry(Actions actions);
  void AnswerStore(const HttpCall& call);
  void Feed(const Event& event);

  std::uint64_t last_request = 0;
  std::uint64_t revision = 10;
  std::map<std::string, WorkerRegistration> registrations;
  Deployment deployment;
  std::vector<HttpCall> store_calls;
  std::vector<HttpCall> calls;
  std::vector<std::uint64_t> cancelled;
  std::map<std::uint64_t, ToldCaller> told;
};

}  // namespace limpetlink::testing
