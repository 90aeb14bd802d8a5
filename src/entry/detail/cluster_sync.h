/// @file
/// @brief State that a host synchronises with the platform and the other hosts:
/// fleet document, membership and the states of upstreams.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>

#include "configuration/configuration.h"
#include "entry/detail/host_context.h"
#include "membership/membership.h"
#include "metadata_store/metadata_store.h"
#include "peers/peers.h"

namespace limpetlink {

/// @brief Source that reports an upstream as leaving. An upstream is leaving
/// while at least one source reports it.
enum class LeavingSource {
  kHostList,  ///< the platform's host list, which is updated with a delay
  kReport,    ///< the upstream's own load report
};

template <>
struct EnumTable<LeavingSource> {
  static constexpr EnumName<LeavingSource> kRows[] = {
      {LeavingSource::kHostList, "list"}, {LeavingSource::kReport, "report"}};
};

/// @brief Keeps the fleet document, the membership and the states of upstreams
/// current, and forwards changes to the dispatcher.
class ClusterSync {
 public:
  /// @param shared state of the host; must outlive this object
  explicit ClusterSync(HostContext& shared);

  /// @brief Starts reading the fleet document and joins the other hosts.
  void Start();

  /// @brief Notifies the other hosts that this host is leaving.
  void Leave();

  // ---- Events from the adapters ----
  void OnPeerFrame(const PeerFrame& frame);
  void OnHead(const HttpHead& head);
  void OnChunk(const HttpChunk& chunk);
  void OnDone(const HttpDone& done);

  /// @brief Sends a message of the dispatcher to a peer.
  void SendDispatch(const DispatchSend& send);

  /// @brief Records whether a source reports an upstream as leaving, and
  /// broadcasts the state to the other hosts if it changed.
  /// @param upstream the upstream
  /// @param source origin of the report
  /// @param is_leaving whether the source reports it as leaving
  void UpdateLeaving(const UpstreamId& upstream, LeavingSource source,
                     bool is_leaving);

  /// @brief Runs the timers of the components.
  void Tick();

  /// @brief Executes the pending actions and results of the components; called
  /// after each step.
  void Flush();

  /// @return the latest time at which Tick must be called
  Instant NextWakeup() const;

  /// @return whether this host has a fleet document, and its document and
  /// membership are current as far as it can determine
  bool Ready() const;

  /// @return the platform client, for components that store objects there
  MetadataStoreClient& Platform() { return this->platform; }

  /// @return the configuration store of this host
  const ConfigurationStore& Configuration() const {
    return this->configuration;
  }

  /// @return the view of the entry hosts
  const Membership& Members() const { return this->membership; }

  /// @brief Called with results of platform operations that belong neither to
  /// the configuration nor to the membership. Set by the host.
  std::function<void(const StoreResult&)> on_store_result;

  /// @brief Called after the fleet document or the live hosts changed. Set by
  /// the host.
  std::function<void()> on_change;

 private:
  void Execute(const MembershipAction& action);
  void Execute(const ConfigurationAction& action);
  void OnLiveHosts(const LiveHostsChanged& change);
  void OnHostList(const HostListRead& host_list);
  void OnBroadcast(const Broadcast& item);
  absl::Status Validate(std::string_view text);
  void ApplyDocument(const ConfigurationApplied& applied);
  void SendToPeer(const HostId& to, PeerKind kind, std::string payload);
  void ApplyLeaving(const UpstreamId& upstream, LeavingSource source,
                    bool is_leaving);

  HostContext& shared;
  std::string validated_text;  ///< text of `validated`
  std::shared_ptr<const FleetDocument>
      validated;  ///< last valid document, parsed
  MetadataStoreClient platform;
  ConfigurationStore configuration;
  Membership membership;
  PeerFrameReader peer_reader;
  std::map<UpstreamId, std::set<LeavingSource>>
      leaving;  ///< leaving upstreams with the reporting sources
  std::map<std::string, std::uint64_t>
      broadcast_versions;  ///< last version of each broadcast, by its key
};

}  // namespace limpetlink
