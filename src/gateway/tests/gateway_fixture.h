/// @file
/// @brief Runs a GatewayHost in virtual time with a simulated store.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "gateway/gateway.h"

namespace limpetlink::testing {

/// @brief The response that a caller has received.
struct CallerResponse {
  int status = 0;
  Headers headers;
  std::string body;
  bool ended = false;
  bool aborted = false;
};

/// @brief Drives one host; the test simulates callers, workers and neighbours.
class GatewayFixture {
 public:
  GatewayFixture();

  /// @brief Returns a deployment with one route of each kind.
  static Deployment MakeDeployment(std::uint64_t version);

  void Register(const std::string& name, const std::string& service,
                bool draining = false, const std::string& domain = "here");
  void Unregister(const std::string& name);
  /// @brief Publishes a deployment in the store.
  void Publish(Deployment next);

  /// @brief Sends a request; path "/lookup/", "/order/" or "/stream/".
  /// @param parts shared parts of the prompt, separated by commas
  RequestId SendRequest(const std::string& path,
                        const std::string& key = "key-1",
                        const std::string& parts = "");
  /// @brief Sends a request to the operators' address.
  RequestId SendOperatorRequest(const std::string& method,
                                const std::string& path,
                                const std::string& body = "");
  /// @brief Has this host relay a request of another host.
  RequestId SendHostRequest(const std::string& path, Headers headers);
  void Disconnect(RequestId id);

  /// @brief Moves out the open calls to workers, except for report calls.
  std::vector<HttpCall> TakeCalls();
  /// @brief Moves out the open calls for reports.
  std::vector<HttpCall> TakeReports();
  /// @brief Moves out the only open call.
  HttpCall Call();
  /// @brief Moves out the latest open call whose URL ends with a path.
  HttpCall CallTo(const std::string& path);

  void RespondHead(const HttpCall& call, int status, Headers extra = {});
  void RespondBytes(const HttpCall& call, const std::string& bytes);
  void EndCall(const HttpCall& call, HttpEnd end = HttpEnd::kComplete);
  void Respond(const HttpCall& call, int status, const std::string& body,
               Headers extra = {});

  /// @brief Advances the time; pending watches of the store return without
  /// changes at its end, unless the store is unreachable.
  void Advance(Duration span);

  const CallerResponse& ResponseTo(RequestId id) {
    return this->responses[id.value];
  }
  bool Cancelled(const HttpCall& call) const;
  static std::string HeaderOf(const Headers& headers, const std::string& name);

  Instant now{std::chrono::seconds(1000)};
  bool store_unreachable = false;
  /// Whether workers' responses are delimited by their connection's end only.
  bool until_close = false;
  GatewayHost host;
  int log_lines = 0;
  std::vector<PeerSend> datagrams;  ///< sent to other hosts

  /// @brief Sets the prompt size that callers claim from now on.
  static void SetPromptTokens(std::uint64_t tokens);

  /// @brief Reports how many bytes of a reply its reader has not read yet.
  void ReportBuffered(RequestId id, std::size_t bytes) {
    this->Deliver(CallerBufferDrained{id, bytes});
  }
  void Deliver(const Event& event);
  void Drain() { this->ApplyActions(this->host.Drain(this->now)); }

  std::vector<HttpPause> pauses;
  std::map<std::string, std::size_t> calls_to;  ///< all calls, by address

  /// @brief Delivers a message of another host.
  void ReceiveFromNeighbour(const NeighbourMessage& message);

 private:
  void ApplyActions(Actions actions);
  void RespondFromStore(const HttpCall& call);

  std::uint64_t last_request = 0;
  std::uint64_t revision = 10;
  std::map<std::string, WorkerRegistration> registrations;
  Deployment deployment;
  std::vector<HttpCall> store_calls;
  std::vector<HttpCall> calls;
  std::vector<std::uint64_t> cancelled;
  std::map<std::uint64_t, CallerResponse> responses;
};

}  // namespace limpetlink::testing
