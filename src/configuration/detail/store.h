/// @file
/// @brief ConfigurationStore: the active fleet document of one host and the
/// protocol that fetches newer versions.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "absl/status/status.h"
#include "base/base.h"
#include "configuration/detail/delta.h"
#include "configuration/detail/wire.h"
#include "metadata_store/metadata_store.h"

namespace limpetlink {

/// @brief Identity, intervals and limits of a configuration store.
struct ConfigurationSettings {
  HostId self;
  std::string fleet_name;      ///< name of the object of kind "fleet"
  std::uint32_t watchers = 3;  ///< number of live hosts that watch the platform
  Duration watch_wait{std::chrono::seconds(2)};
  /// All hosts poll in turn once no host has confirmed the version for this
  /// long.
  Duration stale_after{std::chrono::seconds(7)};
  double shared_polls_per_second = 5.0;  ///< total over all hosts
  Duration digest_interval{std::chrono::seconds(2)};
  Duration pull_timeout{std::chrono::seconds(1)};
  std::uint32_t announce_count = 4;  ///< neighbours notified of a new version
  Duration propagation_time{std::chrono::seconds(13)};
  /// Number of peer responses needed to become ready in an outage.
  std::uint32_t outage_quorum = 3;
  /// A longer gap between events starts a refresh.
  Duration freeze_threshold{std::chrono::seconds(3)};
  std::size_t max_delta_bytes = 256UL * 1024UL;
  double full_documents_per_second = 2.0;  ///< full documents sent to peers
  std::uint64_t seed = 1;
};

/// @brief Validates a document before it is applied, for example with
/// ParseFleet.
using ValidateDocument = std::function<absl::Status(std::string_view text)>;

/// @brief Requests that a payload of kind kConfiguration be sent to a peer. The
/// payload may be lost.
struct ConfigurationSend {
  HostId to;
  std::string bytes;
};

/// @brief Reports that a newer version became active.
struct ConfigurationApplied {
  std::uint64_t version = 0;
  std::string text;  ///< canonical JSON, accepted by ValidateDocument
};

/// @brief An action for the owner of the store to carry out.
using ConfigurationAction =
    std::variant<ConfigurationSend, ConfigurationApplied>;

/// @brief Counters since construction.
struct ConfigurationCounters {
  std::uint64_t applied = 0;
  std::uint64_t rejected_documents = 0;  ///< failed to parse or validate
  std::uint64_t rejected_messages = 0;   ///< malformed messages from peers
  std::uint64_t deltas_sent = 0;
  std::uint64_t full_documents_sent = 0;
  /// Deltas that did not match the base, so the full document was requested.
  std::uint64_t mismatched_deltas = 0;
  std::uint64_t platform_calls = 0;
};

/// @brief Keeps one host's fleet document up to date.
///
/// A few hosts, chosen by rendezvous hashing over the live hosts, watch the
/// platform. A host announces a new version to some neighbours as a digest (the
/// version and the time since it was last confirmed); hosts without that
/// version pull a delta. Digests are also piggybacked on membership probes
/// (Digest, OnDigest). If no host has confirmed the version for some seconds,
/// all hosts poll the platform at a constant total rate.
/// @note Example:
/// @code
/// ConfigurationStore store(settings, &platform, validate);
/// store.Start(now);
/// store.OnHosts(now, membership.Live(), membership.Neighbours());
/// if (store.OnStoreResult(now, result)) { ... }  // each result of the client
/// store.OnPeer(now, envelope.from, envelope.payload);
/// for (auto& action : store.TakeActions()) { ... }
/// @endcode
class ConfigurationStore {
 public:
  /// @param settings identity, intervals and limits
  /// @param platform the host's client of the metadata store; must outlive this
  /// object
  /// @param validate validates a document before it is applied
  ConfigurationStore(ConfigurationSettings settings,
                     MetadataStoreClient* platform, ValidateDocument validate);

  /// @brief Starts reading the newest version.
  void Start(Instant now);

  /// @brief Updates the live hosts and selects the watchers.
  /// @param live all live hosts including this one
  /// @param neighbours hosts that this host exchanges messages with, excluding
  /// itself
  void OnHosts(Instant now, const std::vector<HostId>& live,
               const std::vector<HostId>& neighbours);

  /// @brief Handles the result of a store operation.
  /// @return whether this object issued the operation
  bool OnStoreResult(Instant now, const StoreResult& result);

  /// @brief Handles a payload of kind kConfiguration. Counts and drops
  /// malformed ones.
  void OnPeer(Instant now, const HostId& from, std::string_view bytes);

  /// @brief Handles a digest, made by Digest, that arrived with a membership
  /// probe.
  void OnDigest(Instant now, const HostId& from, std::string_view digest);

  /// @brief Runs due timers and detects whether the host was frozen.
  void Tick(Instant now);

  /// @return latest time of the next call to Tick
  Instant NextWakeup() const;

  /// @brief Returns and clears the pending actions.
  std::vector<ConfigurationAction> TakeActions();

  /// @return whether the host may serve: it has read the newest version from
  /// the platform, or, in an outage, from several peers after the propagation
  /// time
  bool Ready() const { return this->ready; }

  /// @return the active version; 0 before the first
  std::uint64_t Version() const { return this->version; }

  /// @return the canonical text of the active version; empty before the first
  const std::string& Text() const { return this->text; }

  /// @return time since the last known confirmation, by any host at the
  /// platform, that this version is the newest; Duration::max() if there was
  /// none
  Duration ConfirmedAge(Instant now) const;

  /// @return the encoded digest to send with membership probes
  std::string Digest(Instant now) const;

  /// @return whether this host is one of the watchers
  bool IsWatcher() const { return this->watching; }

  /// @return counters since construction
  const ConfigurationCounters& Counters() const { return this->counters; }

 private:
  struct Pull {
    HostId peer;
    std::uint64_t version = 0;
    Instant deadline = kNever;
  };

  // Defined in store.cc.
  void Refresh(Instant now);
  void DetectFreeze(Instant now);
  void QueryPlatform(Instant now, Duration wait);
  void HandleUnchanged(Instant now, Duration age);
  void PullFromPeersInOutage(Instant now);
  void CheckOutageQuorum(Instant now);
  void Confirm(Instant now, Duration age);
  bool TryApply(Instant now, std::uint64_t version, std::string_view text,
                const DocumentDelta* delta);
  void StoreDelta(DocumentDelta delta);
  bool SharedPollDue(Instant now);
  Duration Jitter(Duration full);
  // Defined in spread.cc.
  ConfigurationDigest OwnDigest(Instant now) const;
  void Announce(Instant now);
  void SendDigest(Instant now);
  void HandleDigest(Instant now, const HostId& from,
                    const ConfigurationDigest& digest);
  void RecordOutageResponse(Instant now, const HostId& from,
                            const ConfigurationDigest& digest);
  void HandlePull(Instant now, const HostId& from, std::uint64_t have);
  void HandleDeltas(Instant now, const HostId& from,
                    const ConfigurationDeltas& message);
  void ApplyChain(Instant now, std::uint64_t version, const std::string& text,
                  const std::vector<const DocumentDelta*>& used);
  void StartPull(Instant now);
  void SendPull(Instant now, const HostId& to, std::uint64_t have,
                std::uint64_t version);
  void CheckPull(Instant now);
  void Send(const HostId& to, std::string bytes);
  std::vector<DocumentDelta> DeltasSince(std::uint64_t have) const;
  std::vector<HostId> PickNeighbours(std::uint32_t count);
  bool ConsumeFullDocumentToken(Instant now);

  ConfigurationSettings settings;
  MetadataStoreClient* platform;
  ValidateDocument validate;
  Random random;
  std::uint64_t version = 0;
  std::string text;
  std::uint64_t rejected_version = 0;
  bool ready = false;
  bool started = false;
  bool watching = false;
  bool platform_unavailable = false;
  std::optional<Instant> confirmed_at;
  Instant last_event_at{};
  Instant refresh_started{};
  Instant next_digest{};
  Instant next_platform_query{};
  Instant next_shared_poll = kNever;
  Instant next_outage_pull{};
  std::uint64_t pending_op = 0;
  Instant pending_since{};
  Duration pending_wait{0};
  Pull pull;
  /// Newer version that each peer advertised.
  std::map<HostId, std::uint64_t> newer_versions;
  std::set<HostId> outage_responders;
  std::vector<HostId> live;
  std::vector<HostId> neighbours;
  std::vector<DocumentDelta> deltas;  ///< ascending by version
  std::size_t delta_bytes = 0;
  double full_document_tokens = 0;
  Instant tokens_updated_at{};
  ConfigurationCounters counters;
  std::vector<ConfigurationAction> actions;
};

}  // namespace limpetlink
