/// @file
/// @brief WorkerAllowances: how much this host may send to each worker.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/base.h"

namespace limpetlink {

/// @brief The hosts that send to the same workers, as far as this host knows.
struct FleetMembers {
  std::vector<HostId> hosts;  ///< of the own failure domain, with this host
  std::vector<FailureDomainId> domains;  ///< that have hosts, with the own one

  friend bool operator==(const FleetMembers& a, const FleetMembers& b) {
    return a.hosts == b.hosts && a.domains == b.domains;
  }
};

/// @brief The limit in a worker's response, or its absence.
struct LimitNotice {
  UpstreamId worker;
  std::int64_t started_at = 0;  ///< Unix milliseconds; the incarnation
  /// Requests per second from all hosts together; unset: unlimited again.
  std::optional<double> per_second;
  Duration sent_age{0};   ///< since the request was sent
  Duration heard_age{0};  ///< since its response head arrived
};

/// @brief One incarnation of a worker that may be brittle.
struct WorkerRoom {
  UpstreamId worker;
  std::int64_t started_at = 0;  ///< Unix milliseconds, from its registration
  FailureDomainId domain;
  std::uint32_t slots = 0;  ///< requests that it processes at once
};

/// @brief The room of a brittle worker: one that ends when it has to turn away
/// many requests in a second for want of room.
struct RoomNotice {
  UpstreamId worker;
  std::int64_t started_at = 0;  ///< Unix milliseconds; the incarnation
  double room = 0;  ///< requests in progress from all hosts, when last refused
  std::optional<Duration> refused_age;  ///< since it last refused one
  Duration heard_age{0};                ///< since it last said that it is so
};

/// @brief A worker whose requests are limited.
struct LimitedWorker {
  UpstreamId worker;
  double per_second = 0;       ///< of all hosts
  double host_per_second = 0;  ///< share of this host
  bool ending = false;         ///< the worker names no limit any more
  Duration heard_age{0};
};

/// @brief Parameters of WorkerAllowances.
struct AllowanceSettings {
  /// Hosts that may send to a limited worker. Each may send one request at any
  /// time, so their number bounds the excess over the limit in any window.
  double min_senders = 2;
  double senders_per_rate = 1.5;  ///< additional ones per request a second
  /// Lower limits are taken as this: only a response shows that a limit ended.
  double min_per_second = 0.25;
  /// After its end a limit doubles each `ramp_doubling` for `ramp`, so that the
  /// hosts don't all return at once.
  Duration ramp{std::chrono::seconds(5)};
  Duration ramp_doubling{std::chrono::seconds(1)};
  /// Requests of a share's time that may be sent at once.
  Duration burst{std::chrono::milliseconds(250)};
  /// A brittle worker gets nothing for this long after it refused a request;
  /// its room then grows again, up to its slots.
  Duration refusal_hold{std::chrono::milliseconds(300)};
  double room_per_second = 0.5;
  /// A worker that tolerates fewer refusals a second gets only this part of its
  /// slots, as hosts learn late what others have sent.
  double few_rejections = 3;
  double cautious_share = 0.75;
  /// Time without a response that says so until a worker is not brittle.
  Duration brittle_lifetime{std::chrono::seconds(6)};
  std::size_t max_commands_in_pause = 2;
  /// Notices of other hosts appear later than they are by their time in
  /// transit.
  Duration transit{std::chrono::milliseconds(50)};
};

/// @brief Decides how many requests this host may send to each worker: none
/// while the worker has requested a pause, and this host's share of what all
/// hosts may send while it limits its requests.
///
/// Hosts divide a limit without asking each other. It is split evenly between
/// the failure domains, and within each between its hosts. A share of less than
/// about one request per window can't be divided further, so a low limit is
/// split between fewer domains and hosts; a hash of the worker selects the same
/// ones on all hosts.
/// @note Example:
/// @code
/// if (allowances.MaySend(now, worker)) {
///   allowances.RecordSend(now, worker);
/// }
/// @endcode
class WorkerAllowances {
 public:
  /// @param in_progress returns the requests of the hosts of this failure
  /// domain at a worker
  WorkerAllowances(
      HostId self, FailureDomainId domain, AllowanceSettings settings = {},
      std::function<std::uint32_t(const UpstreamId&)> in_progress = {});

  /// @brief Replaces the known members; they determine this host's shares.
  void SetMembers(Instant now, FleetMembers members);

  /// @brief Applies the limit in a response that this host or another one
  /// received.
  ///
  /// Responses overtake each other. A limit is ended only by a response to a
  /// request that was sent after the limit was heard; a limit is ignored if it
  /// was heard before the request whose response ended it was sent.
  /// @param domain of the worker
  /// @param heard_here whether this host received the response
  /// @return whether it changes the limit
  bool Apply(Instant now, const LimitNotice& notice,
             const FailureDomainId& domain, bool heard_here);

  /// @brief Notes that a worker said it is brittle, or that it did not.
  /// @param sent_at when the request was sent that it responded to
  /// @param max_rejections that it tolerates in a second; unset: any
  /// @return whether other hosts need to know
  bool NoteBrittleness(Instant now, const WorkerRoom& worker, Instant sent_at,
                       std::optional<double> max_rejections);

  /// @brief Notes that a worker refused a request of this host for want of
  /// room.
  /// @return whether other hosts need to know
  bool NoteRefusal(Instant now, const UpstreamId& worker);

  /// @brief Applies what another host knows of a brittle worker.
  /// @return whether it is new
  bool ApplyRoom(Instant now, const WorkerRoom& worker,
                 const RoomNotice& notice);

  /// @brief Returns the rooms of brittle workers that other hosts need.
  /// @param include_received also returns those that other hosts heard
  std::vector<RoomNotice> ExportRooms(Instant now, bool include_received) const;

  /// @brief Sends nothing to the worker before an instant.
  void Hold(Instant now, const UpstreamId& worker, Instant until);
  /// @return the end of the worker's pause; past if there is none
  Instant HeldUntil(const UpstreamId& worker) const;

  /// @return whether a request may be sent to the worker now
  bool MaySend(Instant now, const UpstreamId& worker);

  /// @return whether a command, a check or a stream's next part may be sent to
  /// the worker now: in a pause only a few of these
  bool MaySendCommand(Instant now, const UpstreamId& worker) const;

  /// @brief Charges a request to the worker. Requests that can't be avoided
  /// may exceed the allowance; later ones make up for it.
  void RecordSend(Instant now, const UpstreamId& worker);

  /// @return requests per second that all hosts together may send to the
  /// worker; unset if it isn't limited
  std::optional<double> FleetRate(Instant now, const UpstreamId& worker) const;

  /// @return the mean share of a host in that rate
  double MeanHostRate(double fleet_rate) const;

  /// @return the limited workers, in order of their ids
  std::vector<LimitedWorker> Limited(Instant now) const;

  /// @brief Returns the notices that other hosts need, the latest first.
  /// @param include_received also returns those that other hosts heard
  std::vector<LimitNotice> Export(Instant now, bool include_received) const;

  /// @brief Forgets a worker that terminated or restarted.
  void Remove(const UpstreamId& worker);

 private:
  struct Entry {
    std::int64_t started_at = 0;
    FailureDomainId domain;
    std::optional<double> per_second;  ///< unset after the limit's end
    double last_per_second = 0;
    Instant sent_at{};
    Instant heard_at{};
    Instant ended_at{};
    bool heard_here = false;
    double tokens = 0;  ///< requests that may be sent now
    Instant refilled{};
  };

  struct Pause {
    Instant until{};
    std::size_t sent = 0;  ///< since its begin
  };
  struct Room {
    WorkerRoom worker;
    double room = 0;      ///< when it last refused a request
    double max_room = 0;  ///< while it is brittle
    std::optional<Instant> refused_at;
    Instant heard_at{};
    bool heard_here = false;
  };

  /// @brief The part of a number of requests that belongs to this domain.
  struct DomainPart {
    std::size_t domains = 0;  ///< that have a part
    std::size_t quota = 0;    ///< of this domain
  };

  DomainPart DomainPartOf(const UpstreamId& worker,
                          const FailureDomainId& worker_domain,
                          std::size_t requests) const;
  /// @return the requests that all hosts may have at the brittle worker
  double RoomAt(Instant now, const Room& room) const;
  bool HasRoom(Instant now, const UpstreamId& worker) const;
  std::optional<double> RateOf(Instant now, const Entry& entry) const;
  /// @return this host's part of a rate; 0 if others send
  double ShareOf(const UpstreamId& worker, const Entry& entry,
                 double rate) const;
  void Refill(Instant now, const UpstreamId& worker, Entry* entry) const;

  HostId self;
  FailureDomainId domain;
  AllowanceSettings settings;
  FleetMembers members;
  std::function<std::uint32_t(const UpstreamId&)> in_progress;
  std::map<UpstreamId, Entry> entries;
  std::map<UpstreamId, Room> rooms;  ///< of brittle workers
  std::map<UpstreamId, Pause> pauses;
};

}  // namespace limpetlink
