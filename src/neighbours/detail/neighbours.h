/// @file
/// @brief Keeps the entry hosts of a failure domain in touch.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
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
  std::function<std::vector<WorkerShare>()> shares;
  std::function<void(Instant, const HostId&, const std::vector<WorkerShare>&)>
      take_shares;
  std::function<void(const HostId&)> forget;  ///< a neighbour fell silent
  std::function<void(Instant, const LeavingWorker&)> take_leaving;
};

/// @brief Exchanges state with the live hosts of the own failure domain over
/// datagrams: at once when it changes, and every second. Seeds are asked who
/// the neighbours are. All of it is advice: a host that knows no neighbour
/// serves as well, and places worse.
class Neighbours {
 public:
  Neighbours(NeighbourSettings settings, NeighbourHooks hooks)
      : settings(std::move(settings)), hooks(std::move(hooks)) {}

  /// @brief Takes a datagram.
  /// @return whether it could be read
  bool OnFrame(Instant now, const PeerFrame& frame);

  /// @brief The own state changed; neighbours are told with the next Tick.
  void NoteChange(Instant now);

  /// @brief A worker leaves; neighbours are told.
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
  };
  struct Elsewhere {
    FailureDomainId domain;
    std::string address;
    Instant heard{};
  };
  struct Told {
    LeavingWorker worker;
    Instant until{};
  };

  NeighbourMessage Make(bool asks);
  void SendTo(const std::string& address, const NeighbourMessage& message);
  void Answer(const NeighbourMessage& question);

  NeighbourSettings settings;
  NeighbourHooks hooks;
  std::map<HostId, Known> known;
  std::map<HostId, Elsewhere> asked_here;  ///< hosts that took this for a seed
  std::vector<Told> leaving;
  std::uint64_t sequence = 0;
  Instant next_state{};
  Instant next_question{};
  Instant last_state{};
  Actions actions;
};

}  // namespace limpetlink
