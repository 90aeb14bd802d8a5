/// @file
/// @brief ConfigurationStore: which version of the fleet document one host has
/// in force, and how it learns of newer ones.
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

/// @brief What a store is built with.
struct ConfigurationSettings {
  HostId self;
  std::string fleet_name;      ///< of the object of kind "fleet"
  std::uint32_t watchers = 3;  ///< hosts that watch the platform, of all
  Duration watch_wait{std::chrono::seconds(2)};
  Duration stale_after{std::chrono::seconds(7)};  ///< no host confirmed the
                                                  ///< version for so long: all
                                                  ///< hosts share in polling
  double shared_polls_per_second = 5.0;           ///< of all hosts together
  Duration digest_interval{std::chrono::seconds(2)};
  Duration pull_timeout{std::chrono::seconds(1)};
  std::uint32_t announce_count = 4;  ///< neighbours told of a new version
  Duration propagation_time{std::chrono::seconds(13)};
  std::uint32_t outage_quorum = 3;  ///< answers needed to begin in an outage
  Duration freeze_threshold{std::chrono::seconds(3)};  ///< a longer gap between
                                                       ///< steps asks for a
                                                       ///< refresh
  std::size_t max_delta_bytes = 256UL * 1024UL;
  double full_documents_per_second = 2.0;  ///< whole documents sent to peers
  std::uint64_t seed = 1;
};

/// @brief Says whether a document may be applied, as by ParseFleet.
using ValidateDocument = std::function<absl::Status(std::string_view text)>;

/// @brief Send a payload of kind kConfiguration to a peer; may be lost.
struct ConfigurationSend {
  HostId to;
  std::string bytes;
};

/// @brief A newer version is in force from now on.
struct ConfigurationApplied {
  std::uint64_t version = 0;
  std::string text;  ///< canonical JSON, accepted by ValidateDocument
};

/// @brief What the store orders.
using ConfigurationAction =
    std::variant<ConfigurationSend, ConfigurationApplied>;

/// @brief Counted since the start.
struct ConfigurationCounters {
  std::uint64_t applied = 0;
  std::uint64_t rejected_documents = 0;  ///< did not parse or validate
  std::uint64_t rejected_messages = 0;   ///< malformed, from peers
  std::uint64_t deltas_sent = 0;
  std::uint64_t full_documents_sent = 0;
  std::uint64_t mismatched_deltas =
      0;  ///< did not fit the base; whole asked for
  std::uint64_t platform_calls = 0;
};

/// @brief One host's fleet document.
///
/// A few hosts, chosen by rendezvous over the live ones, watch the platform.
/// A new version is announced to some neighbours as a digest (version and age
/// of its last confirmation); who lacks it pulls a delta. Digests also ride on
/// the membership's probes (Digest, OnDigest). When no host has confirmed the
/// version for some seconds, all hosts share in polling at a constant sum.
/// @note Example:
/// @code
/// ConfigurationStore store(settings, &platform, validate);
/// store.Start(now);
/// store.OnHosts(now, membership.Live(), membership.Neighbours());
/// if (store.OnPlatform(now, result)) { ... }   // each result of the client
/// store.OnPeer(now, envelope.from, envelope.payload);
/// for (auto& action : store.TakeActions()) { ... }
/// @endcode
class ConfigurationStore {
 public:
  /// @param settings who this host is, and times
  /// @param platform the host's client; outlives the store
  /// @param validate judges a document before it is applied
  ConfigurationStore(ConfigurationSettings settings,
                     MetadataStoreClient* platform, ValidateDocument validate);

  /// @brief Begins to read the newest version.
  void Start(Instant now);

  /// @brief Takes the live hosts.
  /// @param live all live hosts with this one
  /// @param neighbours those that this host talks to, without itself
  void OnHosts(Instant now, const std::vector<HostId>& live,
               const std::vector<HostId>& neighbours);

  /// @brief Takes an operation's result.
  /// @return whether the operation was the store's
  bool OnPlatform(Instant now, const StoreResult& result);

  /// @brief Takes a payload of kind kConfiguration. A malformed one is counted.
  void OnPeer(Instant now, const HostId& from, std::string_view bytes);

  /// @brief Takes a digest that rode on a probe, as made by Digest.
  void OnDigest(Instant now, const HostId& from, std::string_view digest);

  /// @brief Lets time pass; notices when the host was frozen.
  void Tick(Instant now);

  /// @return when Tick is due at the latest
  Instant NextWakeup() const;

  /// @brief Hands over the orders since the last take.
  std::vector<ConfigurationAction> TakeActions();

  /// @return whether the host may serve: it has read the newest version, from
  /// the platform, or in an outage from several peers after the spreading time
  bool Ready() const { return this->ready; }

  /// @return the version in force; 0 before the first
  std::uint64_t Version() const { return this->version; }

  /// @return the canonical text in force; empty before the first
  const std::string& Text() const { return this->text; }

  /// @return how long ago some host confirmed at the platform that this version
  /// was the newest, as far as this host knows; Duration::max() when never
  Duration ConfirmedAge(Instant now) const;

  /// @return a few bytes for the membership's probes
  std::string Digest(Instant now) const;

  /// @return whether this host is one of the watchers
  bool IsWatcher() const { return this->watching; }

  /// @return counted since the start
  const ConfigurationCounters& Counters() const { return this->counters; }

 private:
  struct Pull {
    HostId peer;
    std::uint64_t version = 0;
    Instant until = kNever;
  };

  // store.cc
  void Refresh(Instant now);
  void NoticeGap(Instant now);
  void AskPlatform(Instant now, Duration wait);
  void HandleUnchanged(Instant now, Duration age);
  void AskPeersInOutage(Instant now);
  void CheckOutageStart(Instant now);
  void Confirm(Instant now, Duration age);
  bool Offer(Instant now, std::uint64_t version, std::string_view text,
             const DocumentDelta* delta);
  void Keep(DocumentDelta delta);
  bool SharedPollDue(Instant now);
  Duration Jitter(Duration full);
  // spread.cc
  ConfigurationDigest OwnDigest(Instant now) const;
  void Announce(Instant now);
  void SendDigest(Instant now);
  void HandleDigest(Instant now, const HostId& from,
                    const ConfigurationDigest& digest);
  void NoteOutageAnswer(Instant now, const HostId& from,
                        const ConfigurationDigest& digest);
  void HandlePull(Instant now, const HostId& from, std::uint64_t have);
  void HandleDeltas(Instant now, const HostId& from,
                    const ConfigurationDeltas& message);
  void AdoptChain(Instant now, std::uint64_t version, const std::string& text,
                  const std::vector<const DocumentDelta*>& used);
  void StartPull(Instant now);
  void SendPull(Instant now, const HostId& to, std::uint64_t have,
                std::uint64_t version);
  void CheckPull(Instant now);
  void Send(const HostId& to, std::string bytes);
  std::vector<DocumentDelta> ChainFrom(std::uint64_t have) const;
  std::vector<HostId> PickNeighbours(std::uint32_t count);
  bool TakeWholeToken(Instant now);

  ConfigurationSettings settings;
  MetadataStoreClient* platform;
  ValidateDocument validate;
  Random random;
  std::uint64_t version = 0;
  std::string text;
  std::uint64_t refused_version = 0;
  bool ready = false;
  bool started = false;
  bool watching = false;
  bool platform_away = false;
  std::optional<Instant> confirmed_at;
  Instant last_step{};
  Instant refresh_began{};
  Instant next_digest{};
  Instant next_platform{};
  Instant next_shared_poll = kNever;
  Instant next_outage_ask{};
  std::uint64_t open_op = 0;
  Instant open_at{};
  Duration open_wait{0};
  Pull pull;
  std::map<HostId, std::uint64_t> newer_at;  ///< peers known to have newer
  std::set<HostId> outage_answers;
  std::vector<HostId> live;
  std::vector<HostId> neighbours;
  std::vector<DocumentDelta> deltas;  ///< rising, oldest first
  std::size_t delta_bytes = 0;
  double whole_tokens = 0;
  Instant whole_at{};
  ConfigurationCounters counters;
  std::vector<ConfigurationAction> actions;
};

}  // namespace limpetlink
