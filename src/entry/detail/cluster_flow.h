/// @file
/// @brief What a host shares with the platform and the other hosts:
/// configuration, membership and
///        the states of upstreams.
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

/// @brief Who says that an upstream leaves. One source does not clear what
/// another says.
enum class LeavingSource {
  kHostList,  ///< the platform's host list, which lags
  kReport,    ///< the upstream's own load report
};

template <>
struct EnumTable<LeavingSource> {
  static constexpr EnumName<LeavingSource> kRows[] = {
      {LeavingSource::kHostList, "list"}, {LeavingSource::kReport, "report"}};
};

/// @brief Keeps document and membership current and tells the dispatcher what
/// follows.
class ClusterSync {
 public:
  /// @param shared the host's state; outlives the flow
  explicit ClusterSync(HostContext& shared);

  /// @brief Begins: reads the document, joins the other hosts.
  void Start();

  /// @brief Announces that this host leaves.
  void Leave();

  // ---- Events of the adapters ----
  void OnPeerFrame(const PeerFrame& frame);
  void OnHead(const HttpHead& head);
  void OnChunk(const HttpChunk& chunk);
  void OnDone(const HttpDone& done);

  /// @brief Sends a dispatcher's message to a peer.
  void SendDispatch(const DispatchSend& send);

  /// @brief Notes what a source says of an upstream and spreads it when it
  /// changed.
  void UpdateLeaving(const UpstreamId& upstream, LeavingSource source,
                     bool is_leaving);

  /// @brief Lets time pass and carries on what the slices ordered.
  void Tick();

  /// @brief Carries on what the slices ordered; called after each step.
  void Flush();

  /// @return when Tick is due at the latest
  Instant NextWakeup() const;

  /// @return whether this host has the newest document as far as it can know
  bool Ready() const;

  /// @return the platform client, for the slices that keep objects there
  MetadataStoreClient& Platform() { return this->platform; }

  /// @return the document's state on this host
  const ConfigurationStore& Configuration() const {
    return this->configuration;
  }

  /// @return the view of the entry hosts
  const Membership& Members() const { return this->membership; }

  /// @brief Set by the host: takes results of platform operations that are of
  /// neither slice here.
  std::function<void(const StoreResult&)> on_platform_result;

  /// @brief Set by the host: told when the document or the live hosts changed.
  std::function<void()> on_change;

 private:
  void Execute(const MembershipAction& action);
  void Execute(const ConfigurationAction& action);
  void OnLiveHosts(const LiveHostsChanged& change);
  void OnHostList(const HostListRead& host_list);
  void OnBroadcast(const Broadcast& item);
  absl::Status Validate(std::string_view text);
  void ApplyDocument(const ConfigurationAdopted& applied);
  void SendToPeer(const HostId& to, PeerKind kind, std::string payload);
  void ApplyLeaving(const UpstreamId& upstream, LeavingSource source,
                    bool is_leaving);

  HostContext& shared;
  std::string
      validated_text;  ///< last document that was found valid, kept parsed
  std::shared_ptr<const FleetDocument> validated;
  MetadataStoreClient platform;
  ConfigurationStore configuration;
  Membership membership;
  PeerGate peer_gate;
  std::map<UpstreamId, std::set<LeavingSource>>
      leaving;  ///< upstreams that leave, and who says so
  std::map<std::string, std::uint64_t>
      broadcast_versions;  ///< by the broadcast's key
};

}  // namespace limpetlink
