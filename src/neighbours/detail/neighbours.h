/// @file
/// @brief Keeps entry hosts in touch.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/base.h"
#include "neighbours/detail/message.h"
#include "ports/ports.h"

namespace limpetlink {

/// @brief What a host's Neighbours are built with.
struct NeighbourSettings {
  HostId self;
  FailureDomainId domain;
  std::string address;             ///< own, "ip:port"; empty: no neighbours
  std::vector<std::string> seeds;  ///< hosts that know others; may be down
};

/// @brief What a host tells of itself and learns from others.
struct NeighbourHooks {
  std::function<std::vector<WorkerLoad>()> shares;
  std::function<void(Instant, const HostId&, const std::vector<WorkerLoad>&)>
      take_shares;
  std::function<void(const HostId&)> found;   ///< a neighbour was heard of
  std::function<void(const HostId&)> forget;  ///< a neighbour fell silent
  std::function<void(Instant, const LeavingWorker&)> take_leaving;
  /// Linearizable calls of this host.
  std::function<std::vector<ToldProof>(Instant)> proofs;
  /// One of a neighbour; it left no earlier than the instant, by this clock.
  std::function<void(Instant, const ToldProof&)> take_proof;
  /// What all hosts of the own failure domain have at the workers.
  std::function<std::vector<WorkerLoad>()> domain_loads;
  /// The same of another failure domain; replaces what was told before.
  std::function<void(Instant, const DomainLoads&)> take_domain_loads;
  std::function<void(const FailureDomainId&)> forget_domain;  ///< silent
};

/// @brief Exchanges state with the live hosts of the own failure domain over
/// datagrams: at once when it changes, and every second. Seeds are asked who
/// the neighbours are. The host of a failure domain with the lowest id tells
/// one host of each other domain what its own has at the workers, and that
/// one tells its neighbours. All of it is advice: a host that knows no
/// neighbour serves as well, and places worse.
class Neighbours {
 public:
  Neighbours(NeighbourSettings settings, NeighbourHooks hooks)
      : settings(std::move(settings)), hooks(std::move(hooks)) {}

  /// @brief Takes a datagram.
  /// @return whether it could be read
  bool OnFrame(Instant now, const PeerFrame& frame);

  /// @brief The own state changed; neighbours are told with the next Tick.
  void NoteChange(Instant now);

  /// @brief A linearizable call of this host was answered.
  void NoteProof(Instant now) { this->next_proofs = now; }

  /// @return whether this host speaks for others: it has the lowest id
  bool Leads() const { return !this->known.empty() && this->Speaks(); }

  /// @brief This host noticed that a worker leaves; others are told.
  void NoteLeaving(Instant now, const LeavingWorker& worker);

  void Tick(Instant now);
  Instant NextWakeup() const;

  std::size_t Count() const { return this->known.size(); }
  Actions TakeActions() { return std::exchange(this->actions, {}); }

 private:
  struct Known {
    std::string address;
    std::uint64_t sequence = 0;
    Instant heard{};
    std::optional<std::int64_t> clock_ms;  ///< its own, in its last message
  };
  struct Elsewhere {
    FailureDomainId domain;
    std::string address;
    Instant heard{};
  };
  struct Contact {
    NeighbourAddress host;
    Instant heard{};
  };
  struct Told {
    LeavingWorker worker;
    Instant noticed{};
    bool heard = false;  ///< from a neighbour, who tells the others itself
  };

  NeighbourMessage Make(Instant now, bool asks);
  void TellProofs(Instant now);
  void TakeProofs(Instant now, const NeighbourMessage& message);
  /// @param heard those that neighbours told of, too
  std::vector<LeavingWorker> Leaving(Instant now, bool heard) const;
  void HearLeaving(Instant now, const LeavingWorker& worker);
  void SendTo(const std::string& address, const NeighbourMessage& message);
  void Answer(Instant now, const NeighbourMessage& question);
  void TakeContact(Instant now, const DomainContact& contact);
  void TakeDomain(Instant now, const NeighbourMessage& message);
  void TellDomains(Instant now);
  void Prune(Instant now);
  /// @return whether this host tells other domains of its own
  bool Speaks() const;

  NeighbourSettings settings;
  NeighbourHooks hooks;
  std::map<HostId, Known> known;
  std::map<HostId, Elsewhere> asked_here;  ///< hosts that took this for a seed
  std::map<FailureDomainId, Contact> contacts;  ///< of other domains
  std::map<FailureDomainId, Instant> domains_heard;
  std::vector<Told> leaving;
  std::uint64_t sequence = 0;
  Instant next_state{};
  Instant next_question{};
  Instant next_domains{};
  Instant next_proofs = kNever;
  std::optional<Instant> began;  ///< first message of this start
  Instant last_state{};
  Actions actions;
};

}  // namespace limpetlink
