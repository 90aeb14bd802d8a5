/// @file
/// @brief Simulates the dispatchers of several hosts in virtual time, joined by
/// a network that delays and loses messages.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "dispatch/dispatch.h"

namespace limpetlink::testing {

/// @brief The state of a submitted request.
struct RequestRecord {
  std::size_t host = 0;
  Instant submitted;
  Instant answered;  ///< placed or refused
  UpstreamId worker;
  bool placed = false;
  bool refused = false;
  bool ended = false;
};

/// @brief Message counters of a run.
struct Traffic {
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
};

/// @brief Simulates hosts, workers that run each stream for a fixed time, and
/// the network between the hosts.
class Network {
 public:
  struct Settings {
    std::size_t hosts = 2;
    std::size_t workers = 4;
    std::uint64_t memory_tokens = 20000;
    Duration delay{std::chrono::milliseconds(20)};
    double loss = 0;
    std::uint64_t seed = 1;
  };

  explicit Network(Settings settings);

  /// @brief Sets the live hosts and sends them the new list; the others are
  /// disconnected.
  void SetLive(const std::vector<std::size_t>& live_hosts);
  /// @brief Drops all messages from a host, though it stays in the list of live
  /// hosts.
  void DropMessagesFrom(std::size_t host) { this->muted.insert(host); }
  /// @brief Submits a request whose stream runs for the given duration.
  std::size_t Submit(std::size_t host, Duration duration,
                     RequestClass request_class = RequestClass::kDraft);
  /// @brief Advances virtual time.
  void Advance(Duration length);

  /// @return streams at a worker now, and the maximum so far
  std::size_t StreamsAt(const UpstreamId& worker) const;
  std::size_t MaxStreamsAt(const UpstreamId& worker) const;
  std::size_t OwnerOf(std::size_t worker) const;

  std::vector<RequestRecord> requests;
  Traffic traffic;
  Instant now;

 private:
  struct Pending {
    std::size_t host = 0;
    DispatchMessage message;
  };

  void Step(std::size_t host, const DispatchMessage& message);
  void Apply(std::size_t host, const DispatchAction& action);
  void Deliver();
  void SendReports();
  void EndStreams();
  HostId Name(std::size_t host) const;

  Settings settings;
  Random random;
  std::shared_ptr<FleetDocument> document;
  std::vector<std::unique_ptr<Dispatcher>> hosts;
  std::set<std::size_t> live;
  std::set<std::size_t> muted;
  std::multimap<Instant, Pending> pending;
  std::multimap<Instant, std::size_t> ends;
  std::vector<Duration> lengths;
  std::map<UpstreamId, std::size_t> running;
  std::map<UpstreamId, std::size_t> max_running;
  Instant reported;
};

}  // namespace limpetlink::testing
